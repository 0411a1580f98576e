package org.dunespindle.scheduling;

/** An allocation whose task has ended. */
public record TaskAttempt(String job, int task, long attemptBase) {}
