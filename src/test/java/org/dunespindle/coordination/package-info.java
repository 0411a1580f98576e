/** Tests of decisions and of parts of a controller. */
package org.dunespindle.coordination;
