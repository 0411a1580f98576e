/** Messages to and from users, workers and the cloud, and the settings: the only place that knows the words on the wire. */
package org.dunespindle.protocol;
