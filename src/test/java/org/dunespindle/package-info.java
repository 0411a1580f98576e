/** Tests of the program as a whole. */
package org.dunespindle;
