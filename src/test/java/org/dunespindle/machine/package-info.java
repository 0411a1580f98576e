/** Tests of the machine fleet. */
package org.dunespindle.machine;
