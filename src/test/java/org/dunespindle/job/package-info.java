/** Tests of job state transitions and record sizes. */
package org.dunespindle.job;
