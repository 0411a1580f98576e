/** Tests of the communication with workers. */
package org.dunespindle.worker;
