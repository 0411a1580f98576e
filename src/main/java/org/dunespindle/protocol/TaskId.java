package org.dunespindle.protocol;

import java.util.Optional;

/** A task's name on the wire: the job's id and the task's index, as in {@code wk-000412/3}. */
public record TaskId(String job, int index) implements Comparable<TaskId> {
    /** Reads a task's name; empty if the text does not have its form. */
    public static Optional<TaskId> parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0 || slash == text.length() - 1) {
            return Optional.empty();
        }
        try {
            int index = Integer.parseInt(text.substring(slash + 1));
            return index < 0 ? Optional.empty() : Optional.of(new TaskId(text.substring(0, slash), index));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
