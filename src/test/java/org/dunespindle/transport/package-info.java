/** Tests of the HTTP client and server. */
package org.dunespindle.transport;
