/** Tests of scheduling decisions. */
package org.dunespindle.scheduling;
