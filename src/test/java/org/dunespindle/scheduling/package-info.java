/** Tests of scheduling decisions and quota admission. */
package org.dunespindle.scheduling;
