package org.dunespindle.storage;

import java.util.HashMap;
import java.util.Map;

/**
 * The revisions of the replica's keys. A key that was removed, or whose value the replica does not retain, is kept only until the change
 * log has been applied up to its last change: entries that arrive later are newer.
 */
final class KeyRevisions {
    private static final long NONE = -1;
    private final Map<String, Long> retained = new HashMap<>();
    private final Map<String, Long> released = new HashMap<>();
    private long completeUpTo = NONE;

    /** The revision of a retained key's last change; 0 for any other key. */
    long of(String key) {
        return retained.getOrDefault(key, 0L);
    }

    /** Whether a change is contained in the replica already. */
    boolean isApplied(String key, long revision) {
        long applied = lastChange(key);
        return applied == NONE ? revision <= completeUpTo : revision <= applied;
    }

    /** Whether a key's row, read from a page, is older than a change that was applied while the pages were read. */
    boolean isOverwritten(String key, long revision) {
        return revision <= lastChange(key);
    }

    private long lastChange(String key) {
        Long revision = retained.get(key);
        return revision != null ? revision : released.getOrDefault(key, NONE);
    }

    /** Records the last change of a key whose value is retained. */
    void retain(String key, long revision) {
        released.remove(key);
        retained.put(key, revision);
    }

    /** Records the last change of a key that was removed, or whose value is not retained. */
    void release(String key, long revision) {
        retained.remove(key);
        if (revision > completeUpTo) {
            released.put(key, revision);
        } else {
            released.remove(key);
        }
    }

    /** Drops a key's revision, so that every precondition on it fails. */
    void forget(String key) {
        retained.remove(key);
        released.remove(key);
    }

    /** Records that all changes up to a revision are contained in the replica. */
    void advance(long revision) {
        completeUpTo = Math.max(completeUpTo, revision);
        released.values().removeIf(change -> change <= completeUpTo);
    }

    /** The number of entries held. */
    int size() {
        return retained.size() + released.size();
    }
}
