/** Tests of message formats. */
package org.dunespindle.protocol;
