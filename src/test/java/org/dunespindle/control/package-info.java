/** Tests of the state that the parts of a controller share. */
package org.dunespindle.control;
