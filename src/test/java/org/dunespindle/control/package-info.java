/** Tests of the state that all parts of a controller share. */
package org.dunespindle.control;
