package org.dunespindle.storage;

import java.util.function.Consumer;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClientResponse;
import org.dunespindle.transport.HttpStatus;
import org.dunespindle.transport.ResponseTooLongException;

/** Reads the state store's change log and classifies failures. */
final class ChangeLogReader {
    private final StateStoreClient stateStore;

    ChangeLogReader(StateStoreClient stateStore) {
        this.stateStore = stateStore;
    }

    /** The outcome of a read: either {@link Changes} or a {@link Failure}. */
    sealed interface Result {}

    /** All changes after the requested revision, and the revision up to which they are complete. */
    record Changes(StateMessages.Entries log) implements Result {}

    /** Why a read returned no changes. */
    enum Failure implements Result {
        /** The log exceeds the maximum response length. It only grows, so a retry fails too. */
        TOO_LONG(true),
        /** The log has been compacted beyond the requested revision. */
        COMPACTED(true),
        /** The response cannot be parsed. */
        MALFORMED(true),
        /** The store rejected the request because of its rate limit or an outage, which does not imply a problem with the log. */
        REFUSED(false),
        /** No response arrived before the timeout. */
        UNANSWERED(false);

        private final boolean permanent;

        Failure(boolean permanent) {
            this.permanent = permanent;
        }

        /** Whether a retry from the same revision would fail too. */
        boolean isPermanent() {
            return permanent;
        }
    }

    /** Reads all changes after a revision. */
    void read(long since, Consumer<Result> onResult) {
        stateStore
                .changes(Keys.ROOT, since)
                .whenComplete((response, failure) -> onResult.accept(result(response, failure)));
    }

    private static Result result(HttpClientResponse response, Throwable failure) {
        if (failure != null) {
            return HttpCallException.cause(failure) instanceof ResponseTooLongException
                    ? Failure.TOO_LONG
                    : Failure.UNANSWERED;
        }
        int status = response.status();
        if (status != HttpStatus.OK) {
            return HttpStatus.isClientError(status) && status != HttpStatus.TOO_MANY_REQUESTS
                    ? Failure.COMPACTED
                    : Failure.REFUSED;
        }
        try {
            return new Changes(StateMessages.log(response.body()));
        } catch (MalformedMessageException e) {
            return Failure.MALFORMED;
        }
    }
}
