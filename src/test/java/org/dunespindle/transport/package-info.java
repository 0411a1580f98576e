/** Tests of the HTTP caller and listener. */
package org.dunespindle.transport;
