package org.dunespindle.federation;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Carries requests to controllers of other cells. Results arrive on the controller's one thread. */
public interface CellTransport {
    /**
     * Sends a request. The result fails with {@link CellCallException} if no usable answer comes within the deadline; the request may
     * have been carried out, or may yet be.
     */
    CompletableFuture<CellReply> call(String address, CellRequest request, Duration deadline);
}
