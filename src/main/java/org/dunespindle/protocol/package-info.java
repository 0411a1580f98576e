/** Messages to and from users, workers, the state store and the cloud, and the settings. Field names on the wire are used only here. */
package org.dunespindle.protocol;
