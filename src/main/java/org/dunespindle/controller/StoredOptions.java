package org.dunespindle.controller;

import java.time.Duration;
import java.util.function.Supplier;
import org.dunespindle.control.Options;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;

/** The operators' options, as in the replica of the state store; parsed once per revision. */
final class StoredOptions implements Supplier<Options> {
    private final StateReplica replica;
    private final Duration workerLease;
    private Options options;
    private long modRevision;

    StoredOptions(StateReplica replica, Duration workerLease) {
        this.replica = replica;
        this.workerLease = workerLease;
        this.options = Options.defaults(workerLease);
    }

    @Override
    public Options get() {
        long storedRevision = replica.modRevision(Keys.OPTIONS);
        if (storedRevision != modRevision) {
            modRevision = storedRevision;
            options = Options.of(replica.value(Keys.OPTIONS), workerLease);
        }
        return options;
    }
}
