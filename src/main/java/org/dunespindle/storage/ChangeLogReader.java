package org.dunespindle.storage;

import java.util.function.Consumer;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClientResponse;
import org.dunespindle.transport.HttpStatus;
import org.dunespindle.transport.ResponseTooLongException;

/** Reads the state store's change log and classifies why it could not be read. */
final class ChangeLogReader {
    private final StateStoreClient stateStore;

    ChangeLogReader(StateStoreClient stateStore) {
        this.stateStore = stateStore;
    }

    /** The outcome of a read. */
    sealed interface Result {}

    /** All changes since the requested revision, and the revision that they reach. */
    record Changes(StateMessages.Entries log) implements Result {}

    /** Why there are no changes to apply. */
    enum Failure implements Result {
        /** The log is longer than an answer may be. It only grows, so that another attempt fails too. */
        TOO_LONG(true),
        /** The log no longer reaches back to the requested revision. */
        COMPACTED(true),
        /** The answer cannot be parsed. */
        MALFORMED(true),
        /** The store refused the request, for its rate or because it is unavailable; this says nothing about the log. */
        REFUSED(false),
        /** No answer arrived in time. */
        UNANSWERED(false);

        private final boolean permanent;

        Failure(boolean permanent) {
            this.permanent = permanent;
        }

        /** Whether the log since the requested revision cannot be had by another attempt. */
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
