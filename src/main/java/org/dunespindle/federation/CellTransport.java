package org.dunespindle.federation;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends requests to controllers of other cells. Futures complete on the controller's event loop. */
public interface CellTransport {
    /**
     * Sends a request. The result fails with {@link CellCallException} if no valid reply arrives before the deadline. The request may
     * nevertheless have been executed, or may still be.
     */
    CompletableFuture<CellReply> call(String address, CellRequest request, Duration deadline);
}
