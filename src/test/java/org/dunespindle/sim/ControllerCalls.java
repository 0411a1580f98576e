package org.dunespindle.sim;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.transport.HttpClientResponse;

/** Counts the calls of a cluster's controllers. */
final class ControllerCalls {
    /** Calls of controllers by target ("state", "cloud", "node", "worker"), and key changes in transactions ("writes"). */
    final Map<String, Integer> counts = new TreeMap<>();
    /** The highest number of concurrent calls to workers by one controller. */
    int maxOpenToWorkers;

    private final int[] openToWorkers;

    ControllerCalls(int controllers) {
        openToWorkers = new int[controllers];
    }

    /** Counts a call; the future completes when the caller has its result. */
    void count(int from, String address, String target, byte[] body, CompletableFuture<HttpClientResponse> result) {
        String kind = address.substring(0, address.indexOf(':'));
        counts.merge(kind, 1, Integer::sum);
        if (target.equals("/txn")) {
            counts.merge("writes", changesIn(body), Integer::sum);
        }
        if (kind.equals("worker")) {
            maxOpenToWorkers = Math.max(maxOpenToWorkers, ++openToWorkers[from]);
            result.whenComplete((response, e) -> openToWorkers[from]--);
        }
    }

    private static int changesIn(byte[] transaction) {
        try {
            return MessagePackCodec.read(transaction).path("apply").size();
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Forgets the open calls of a controller that ended. */
    void controllerEnded(int controller) {
        openToWorkers[controller] = 0;
    }
}
