package org.dunespindle.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The latest cancelled jobs by the revision at which the replica first applied the cancellation, which was committed then or earlier.
 * The oldest ones are dropped; from then on a list since an earlier revision is refused, because it would not be complete.
 */
final class CancellationLog {
    static final int MAX_JOBS = 2000;

    private final TreeMap<Long, List<String>> jobsByRevision = new TreeMap<>();
    private int size;
    /** The highest revision whose jobs were dropped. */
    private long droppedUpTo = -1;

    /** Adds a cancelled job. */
    void add(long revision, String jobId) {
        jobsByRevision.computeIfAbsent(revision, ids -> new ArrayList<>(1)).add(jobId);
        size++;
        while (size > MAX_JOBS) {
            Map.Entry<Long, List<String>> oldest = jobsByRevision.pollFirstEntry();
            size -= oldest.getValue().size();
            droppedUpTo = Math.max(droppedUpTo, oldest.getKey());
        }
    }

    /** All jobs whose cancellation was first applied after a revision; empty if that many are no longer known. */
    Optional<List<String>> since(long revision) {
        if (revision < droppedUpTo) {
            return Optional.empty();
        }
        var ids = new ArrayList<String>();
        jobsByRevision.tailMap(revision, false).values().forEach(ids::addAll);
        return Optional.of(ids);
    }

    /** The number of jobs held. */
    int size() {
        return size;
    }
}
