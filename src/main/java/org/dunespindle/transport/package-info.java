/** HTTP/1.1 on Netty: a listener, a caller, and the count of sockets that both share. Knows nothing of what is sent. */
package org.dunespindle.transport;
