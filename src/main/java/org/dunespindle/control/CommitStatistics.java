package org.dunespindle.control;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.storage.Transaction;
import org.slf4j.Logger;

/** Counts the changes that a {@link CommitQueue} has sent, and those in conflicting transactions. */
final class CommitStatistics {
    private final Logger log;
    private final Map<String, Integer> countsByKeyType = new TreeMap<>();
    private long sentChanges;
    private long conflictedChanges;

    /** Creates counters; those by key type are updated only while this logger's debug level is enabled. */
    CommitStatistics(Logger log) {
        this.log = log;
    }

    /** Counts a transaction that is about to be sent. */
    void sent(Transaction transaction) {
        sentChanges += transaction.changeCount();
        if (log.isDebugEnabled()) {
            transaction.changes().keySet().forEach(key -> countsByKeyType.merge(keyType(key), 1, Integer::sum));
        }
    }

    /** Counts a transaction that was not applied because preconditions on these keys failed. */
    void conflicted(Transaction transaction, Set<String> failedKeys) {
        conflictedChanges += transaction.changeCount();
        if (log.isDebugEnabled()) {
            failedKeys.forEach(key -> countsByKeyType.merge("conflict " + keyType(key), 1, Integer::sum));
        }
    }

    long sentChanges() {
        return sentChanges;
    }

    long conflictedChanges() {
        return conflictedChanges;
    }

    Map<String, Integer> countsByKeyType() {
        return countsByKeyType;
    }

    /** The second segment of a key's path, which is the type of its record. */
    private static String keyType(String key) {
        int first = key.indexOf('/');
        int second = key.indexOf('/', first + 1);
        return second < 0 ? key.substring(first + 1) : key.substring(first + 1, second);
    }
}
