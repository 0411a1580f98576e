package org.dunespindle.federation;

import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/**
 * A kind of work, by the machines that it competes for. A cell delegates or accepts work of a kind, but never both at a time.
 *
 * @param types the machine types that the work may use, sorted; empty for any
 */
public record ResourceKind(Optional<List<String>> types) {
    /** The kind of a job's work. */
    public static ResourceKind of(Submission job) {
        return new ResourceKind(job.types().map(list -> list.stream().sorted().toList()));
    }

    /** Whether both kinds may compete for the same machine. */
    public boolean overlaps(ResourceKind other) {
        return types.isEmpty() || other.types.isEmpty() || types.get().stream().anyMatch(other.types.get()::contains);
    }
}
