/** The program: start-up, the command line and the wiring of listeners. */
package org.dunespindle;
