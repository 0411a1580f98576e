package org.dunespindle.scheduling;

/** Tasks of a job that were booked together. */
public record JobAttempt(String job, long attemptBase) {}
