/** HTTP/1.1 on Netty: a server, a client, and the connection budget that they share. Independent of the messages' contents. */
package org.dunespindle.transport;
