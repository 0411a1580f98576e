package org.dunespindle.machine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.dunespindle.protocol.ListedMachine;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.RentalRequest;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.storage.RateLimitedHttpClient;
import org.dunespindle.storage.RateLimiter;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** A client of the cloud's API that stays within its rate limit. */
public final class CloudClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int LIST_PAGE_SIZE = 500;
    /** The part of the rate limit that each controller may use: only the leader calls the cloud often, the others read the catalog. */
    private static final double MAX_RATE_FRACTION = 0.7;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    /** Part of the response body that marks a rental refused for lack of capacity. */
    private static final String NO_CAPACITY = "no capacity";

    private static final byte[] NO_BODY = new byte[0];

    private final RateLimitedHttpClient service;

    /** The outcome of a rental: the machines, or a refusal for lack of capacity. */
    record RentalResult(List<String> machineIds, boolean noCapacity) {
        private static final RentalResult REFUSED = new RentalResult(List.of(), true);
    }

    /** One page of the machine list, and whether more pages follow. */
    private record ListPage(List<ListedMachine> machines, boolean more) {}

    @FunctionalInterface
    private interface Parser<T> {
        T parse(JsonNode node) throws MalformedMessageException;
    }

    /** Creates a client for the cloud address in the settings. */
    public CloudClient(HttpClient httpClient, Settings settings, TimeSource timeSource) {
        double rate = MAX_RATE_FRACTION * settings.cloud().rps();
        this.service = new RateLimitedHttpClient(
                httpClient, settings.cloudAddress(), timeSource, new RateLimiter(timeSource, rate), CALL_TIMEOUT);
    }

    /** Latency of the calls, in microseconds. */
    public Histogram latency() {
        return service.latency();
    }

    /** The machine types on offer. */
    CompletableFuture<List<MachineType>> catalog() {
        return call("GET", "/catalog", NO_BODY)
                .thenCompose(response -> parseOk(response, "catalog", MachineType::parseCatalog));
    }

    /** The whole machine list, read page by page. */
    CompletableFuture<List<ListedMachine>> list() {
        return listAfter("", new ArrayList<>());
    }

    private CompletableFuture<List<ListedMachine>> listAfter(String lastId, List<ListedMachine> listedBefore) {
        return call("GET", "/rentals?since=" + lastId + "&limit=" + LIST_PAGE_SIZE, NO_BODY)
                .thenCompose(response -> parseOk(response, "machine list", CloudClient::parsePage))
                .thenCompose(page -> {
                    listedBefore.addAll(page.machines);
                    if (!page.more || page.machines.isEmpty()) {
                        return CompletableFuture.completedFuture(listedBefore);
                    }
                    String last = page.machines.get(page.machines.size() - 1).id();
                    return last.equals(lastId)
                            ? CompletableFuture.completedFuture(listedBefore)
                            : listAfter(last, listedBefore);
                });
    }

    private static ListPage parsePage(JsonNode body) throws MalformedMessageException {
        var machines = new ArrayList<ListedMachine>();
        for (JsonNode row : body.path("hosts")) {
            machines.add(ListedMachine.parse(row));
        }
        return new ListPage(machines, body.path("more").asBoolean(false));
    }

    /** Rents machines. The request id makes retries idempotent until one is answered with status 200. */
    CompletableFuture<RentalResult> rent(String requestId, MachinePool pool, int count) {
        var request = new RentalRequest(requestId, pool.type(), pool.zone(), pool.spot(), count);
        return call("POST", "/rentals", MessagePackCodec.write(request.toNode()))
                .thenCompose(response -> isCapacityRefusal(response)
                        ? CompletableFuture.completedFuture(RentalResult.REFUSED)
                        : parseOk(response, "rental", CloudClient::parseRental));
    }

    private static boolean isCapacityRefusal(HttpClientResponse response) {
        return response.status() == UNAVAILABLE
                && new String(response.body(), StandardCharsets.ISO_8859_1).contains(NO_CAPACITY);
    }

    private static RentalResult parseRental(JsonNode body) {
        var machineIds = new ArrayList<String>();
        body.path("hosts").forEach(id -> machineIds.add(id.asText()));
        return new RentalResult(machineIds, false);
    }

    /** Terminates machines. Once the future completes, the machines and all tasks on them are gone. */
    CompletableFuture<Void> terminate(List<String> machineIds) {
        ObjectNode body = MessagePackCodec.map();
        machineIds.forEach(body.withArray("/hosts")::add);
        return call("POST", "/rentals/return", MessagePackCodec.write(body))
                .thenCompose(response -> response.status() == OK
                        ? CompletableFuture.completedFuture(null)
                        : CompletableFuture.failedFuture(CloudCallException.unexpectedStatus(response.status())));
    }

    private static <T> CompletableFuture<T> parseOk(
            HttpClientResponse response, String responseName, Parser<T> parser) {
        if (response.status() != OK) {
            return CompletableFuture.failedFuture(CloudCallException.unexpectedStatus(response.status()));
        }
        try {
            return CompletableFuture.completedFuture(parser.parse(MessagePackCodec.read(response.body())));
        } catch (MalformedMessageException e) {
            return CompletableFuture.failedFuture(CloudCallException.malformedResponse(responseName));
        }
    }

    private CompletableFuture<HttpClientResponse> call(String method, String target, byte[] body) {
        return service.call(false, method, target, body);
    }
}
