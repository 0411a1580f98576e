package org.dunespindle.federation;

import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/**
 * Work that competes for the same machines. A cell gives away or takes in work of a kind, never both at a time.
 *
 * @param types the machine types that it may use; empty for any
 */
public record ResourceKind(Optional<List<String>> types) {
    /** The kind of a job's work. */
    public static ResourceKind of(Submission job) {
        return new ResourceKind(job.types().map(list -> list.stream().sorted().toList()));
    }

    /** Whether there may be a machine that both could use. */
    public boolean overlaps(ResourceKind other) {
        return types.isEmpty() || other.types.isEmpty() || types.get().stream().anyMatch(other.types.get()::contains);
    }
}
