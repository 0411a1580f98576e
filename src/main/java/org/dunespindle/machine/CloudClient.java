package org.dunespindle.machine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;

/** The cloud, called within its rate. */
public final class CloudClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int PAGE = 500;
    /** Only the leader makes more than a rare call, so it gets most of the rate; the rest is for the others' catalogs. */
    private static final double LEADERS_PART = 0.7;

    private final RateLimitedHttpClient service;

    /** A rental's outcome: machines, or a refusal for want of capacity. */
    public record Rented(List<String> hosts, boolean noCapacity) {}

    /** Creates a client for the cloud that the settings name. */
    public CloudClient(HttpClient httpClient, Settings settings, TimeSource timeSource) {
        double rate = LEADERS_PART * settings.cloud().rps();
        this.service = new RateLimitedHttpClient(
                httpClient, settings.cloudAddress(), timeSource, new RateLimiter(timeSource, rate), TIMEOUT);
    }

    /** How long calls took, in microseconds. */
    public Histogram latency() {
        return service.latency();
    }

    /** The machine types on offer. */
    public CompletableFuture<List<MachineType>> catalog() {
        return call("GET", "/catalog", new byte[0])
                .thenCompose(response -> parsed(response, MachineType::parseCatalog));
    }

    /** The whole machine list, page by page. */
    public CompletableFuture<List<ListedMachine>> list() {
        return page("", new ArrayList<>());
    }

    private CompletableFuture<List<ListedMachine>> page(String since, List<ListedMachine> got) {
        return call("GET", "/rentals?since=" + since + "&limit=" + PAGE, new byte[0])
                .thenCompose(response -> parsed(response, n -> n))
                .thenCompose(body -> {
                    String last = since;
                    for (JsonNode row : body.path("hosts")) {
                        try {
                            ListedMachine listed = ListedMachine.parse(row);
                            got.add(listed);
                            last = listed.id();
                        } catch (MalformedMessageException e) {
                            return CompletableFuture.failedFuture(new HttpCallException("unreadable list", true));
                        }
                    }
                    return body.path("more").asBoolean(false) && !last.equals(since)
                            ? page(last, got)
                            : CompletableFuture.completedFuture(got);
                });
    }

    /** Rents machines; repeating it with the same request id is safe until it was answered with 200. */
    public CompletableFuture<Rented> rent(String requestId, MachinePool pool, int count) {
        var request = new RentalRequest(requestId, pool.type(), pool.zone(), pool.spot(), count);
        return call("POST", "/rentals", MessagePackCodec.write(request.toNode()))
                .thenCompose(response -> {
                    if (response.status() == 200) {
                        return parsed(response, n -> {
                            var hosts = new ArrayList<String>();
                            n.path("hosts").forEach(h -> hosts.add(h.asText()));
                            return new Rented(hosts, false);
                        });
                    }
                    boolean none = response.status() == 503
                            && new String(response.body(), java.nio.charset.StandardCharsets.ISO_8859_1)
                                    .contains("no capacity");
                    return none
                            ? CompletableFuture.completedFuture(new Rented(List.of(), true))
                            : CompletableFuture.failedFuture(
                                    new HttpCallException("status " + response.status(), true));
                });
    }

    /** Returns machines; once this completes, they and everything on them are gone. */
    public CompletableFuture<Void> giveBack(List<String> hosts) {
        ObjectNode body = MessagePackCodec.map();
        hosts.forEach(body.withArray("/hosts")::add);
        return call("POST", "/rentals/return", MessagePackCodec.write(body))
                .thenCompose(response -> response.status() == 200
                        ? CompletableFuture.completedFuture(null)
                        : CompletableFuture.failedFuture(new HttpCallException("status " + response.status(), true)));
    }

    @FunctionalInterface
    private interface Parser<T> {
        T parse(JsonNode node) throws MalformedMessageException;
    }

    private static <T> CompletableFuture<T> parsed(HttpClientResponse response, Parser<T> parser) {
        if (response.status() != 200) {
            return CompletableFuture.failedFuture(new HttpCallException("status " + response.status(), true));
        }
        try {
            return CompletableFuture.completedFuture(parser.parse(MessagePackCodec.read(response.body())));
        } catch (MalformedMessageException e) {
            return CompletableFuture.failedFuture(new HttpCallException("unreadable answer", true));
        }
    }

    private CompletableFuture<HttpClientResponse> call(String method, String target, byte[] body) {
        return service.call(false, method, target, body);
    }
}
