package org.dunespindle.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.dunespindle.protocol.JsonCodec;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;

/**
 * What the controllers tell one another about once a second: how fresh their view is, what they need of the
 * write rate, and, to the leader alone, what changed about their machines. Only advice: what is decided
 * rests on the state service and on workers.
 */
public final class PeerHeartbeats {
    private static final Duration TIMEOUT = Duration.ofMillis(1500);
    private static final Duration FRESH = Duration.ofSeconds(4);
    private static final Duration QUIET = Duration.ofMillis(1700);
    private static final Duration LEASE_TELLS = Duration.ofMillis(6500);
    /** Machines told in one heartbeat: after a take-over all of a large fleet's at once, or placing would wait for the rest. */
    private static final int MOST_MACHINES = 4000;
    /** What they may take of a message, of which the receiver reads a mebibyte; the others follow in the next. */
    private static final int MOST_NEWS_CHARACTERS = 600_000;
    /** A list of cancelled jobs longer than this is not sent: the asker then goes by the age of its copy. */
    private static final int MOST_CANCELLED = 2000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private final Settings settings;
    private final HttpClient httpClient;
    private final TimeSource timeSource;
    private final LongSupplier incarnation;
    private final Supplier<Optional<String>> leader;
    private final StateReplica replica;
    private final Listener listener;
    private final Map<String, PeerState> heartbeats = new HashMap<>();
    private final Map<String, Heard> heard = new HashMap<>();
    /** Up to which number each controller has taken our news. */
    private final Map<String, Long> taken = new HashMap<>();

    /** Takes what other controllers tell that concerns other parts. */
    public interface Listener {
        /** A machine has fetched an image. */
        void imageSeen(String host, String image);

        /** A controller knows these cancelled jobs, which the copy here may have lacked when it was asked. */
        void cancelled(String node, Duration asked, List<String> jobs);
    }

    private static final class Heard {
        long incarnation;
        long upTo;
        final Map<String, ReportedMachine> machines = new HashMap<>();
    }

    /** Creates the link to the other controllers. */
    public PeerHeartbeats(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            LongSupplier incarnation,
            Supplier<Optional<String>> leader,
            StateReplica replica,
            Listener listener) {
        this.replica = replica;
        this.listener = listener;
        this.settings = settings;
        this.httpClient = httpClient;
        this.timeSource = timeSource;
        this.incarnation = incarnation;
        this.leader = leader;
    }

    /** A controller's last heartbeat while it is fresh. */
    public Optional<PeerState> heartbeat(String node) {
        return Optional.ofNullable(heartbeats.get(node))
                .filter(peer -> timeSource.now().minus(peer.at()).compareTo(FRESH) < 0);
    }

    /**
     * Whether a controller that talked a moment ago does not any more: it may have ended, and its lease will tell within seconds. One
     * that has been quiet for longer than that lives.
     */
    public boolean isSuspected(String node) {
        PeerState peer = heartbeats.get(node);
        Duration quiet = peer == null ? Duration.ZERO : timeSource.now().minus(peer.at());
        return quiet.compareTo(QUIET) > 0 && quiet.compareTo(LEASE_TELLS) < 0;
    }

    /** All heartbeats that are fresh. */
    public List<PeerState> livePeers() {
        var list = new ArrayList<PeerState>();
        heartbeats.keySet().forEach(n -> heartbeat(n).ifPresent(list::add));
        return list;
    }

    /** What a machine's owner told of it under its present token, while the owner's heartbeat is fresh. */
    public Optional<ReportedMachine> machine(MachineRecord machine) {
        return heartbeat(machine.owner()).isEmpty() ? Optional.empty() : lastTold(machine);
    }

    /** The same however old it is: for an owner that lives but cannot talk to this controller. */
    public Optional<ReportedMachine> lastTold(MachineRecord machine) {
        Optional<ReportedMachine> told = told(machine.owner(), machine.id());
        return told.isPresent() && told.get().token() == machine.token() ? told : Optional.empty();
    }

    private Optional<ReportedMachine> told(String node, String host) {
        Heard from = heard.get(node);
        return from == null ? Optional.empty() : Optional.ofNullable(from.machines.get(host));
    }

    /** Where a machine is reached, as anybody told. */
    public Optional<String> address(MachineRecord machine) {
        return told(machine.owner(), machine.id()).map(ReportedMachine::address).filter(a -> !a.isEmpty());
    }

    /**
     * When a machine was last alive as far as any other controller told. One that is up is told once and counts as alive as long
     * as its owner keeps talking; but only while it is the owner: what an earlier owner told last says nothing about later.
     */
    public Optional<Duration> aliveAt(MachineRecord machine) {
        Optional<Duration> last = Optional.empty();
        for (Map.Entry<String, Heard> e : heard.entrySet()) {
            ReportedMachine reported = e.getValue().machines.get(machine.id());
            if (reported != null) {
                boolean present = reported.up()
                        && e.getKey().equals(machine.owner())
                        && reported.token() == machine.token()
                        && heartbeats.containsKey(e.getKey());
                Duration at = present
                        ? heartbeats.get(e.getKey()).at()
                        : reported.reportedAt().minus(reported.silentFor());
                last = Durations.later(last, Optional.of(at));
            }
        }
        return last;
    }

    /** Machines that are gone for good. */
    public void keepOnly(Set<String> hosts) {
        heard.values().forEach(h -> h.machines.keySet().retainAll(hosts));
    }

    /** Whether anybody wants to hear about our machines. */
    public boolean leaderListens() {
        return leader.get().filter(l -> !l.equals(settings.nodeName())).isPresent();
    }

    /**
     * Tells all others.
     *
     * @param news machines in the order of their numbers
     */
    public void send(Duration viewAge, WriteDemand need, List<MachineStatus> news) {
        for (Settings.Seed seed : settings.seeds()) {
            ObjectNode n = head(viewAge, need).put("readTo", replica.appliedRevision());
            Duration asked = timeSource.now();
            if (leader.get().filter(seed.name()::equals).isPresent()) {
                add(n, news, taken.getOrDefault(seed.name(), 0L));
            }
            httpClient
                    .send(seed.address(), "POST", "/peer/heartbeat", JsonCodec.write(n), "application/json", TIMEOUT)
                    .whenComplete((response, e) -> {
                        if (response != null && response.status() == 200) {
                            answered(seed.name(), asked, response.body());
                        }
                    });
        }
    }

    private ObjectNode head(Duration viewAge, WriteDemand need) {
        return MessagePackCodec.map()
                .put("node", settings.nodeName())
                .put("inc", incarnation.getAsLong())
                .put("viewAgeMs", viewAge.toMillis())
                .put("writes", need.writes())
                .put("waiting", need.waiting());
    }

    private static void add(ObjectNode n, List<MachineStatus> news, long from) {
        ArrayNode list = n.put("from", from).putArray("news");
        long upTo = from;
        int characters = 0;
        for (MachineStatus status : news) {
            if (status.sequence() > from && list.size() < MOST_MACHINES && characters < MOST_NEWS_CHARACTERS) {
                upTo = status.sequence();
                characters += status.characters();
                ArrayNode row = list.addArray()
                        .add(status.machineId())
                        .add(status.token())
                        .add(status.up())
                        .add(status.quarantined())
                        .add(status.silentFor().toMillis())
                        .add(status.address());
                status.images().forEach(row::add);
            }
        }
        n.put("upTo", upTo);
    }

    /** Takes a heartbeat in and builds the answer to it; an unreadable one counts as none. */
    public ObjectNode receive(byte[] body, Duration viewAge, WriteDemand need) {
        ObjectNode answer = head(viewAge, need);
        try {
            JsonNode n = JSON.readTree(body);
            if (n != null && n.path("node").isTextual()) {
                String node = n.get("node").asText();
                note(node, n);
                Heard h = heard.computeIfAbsent(node, k -> new Heard());
                if (h.incarnation != n.path("inc").asLong()) {
                    h.incarnation = n.path("inc").asLong();
                    h.upTo = 0;
                    h.machines.clear();
                }
                // MachineStatus that do not continue what is known here are left; the answer says where to go on.
                if (n.has("news") && n.path("from").asLong() <= h.upTo) {
                    n.get("news").forEach(row -> take(h, row));
                    h.upTo = Math.max(h.upTo, n.path("upTo").asLong());
                }
                answer.put("took", h.upTo).put("tookOf", h.incarnation);
                tellCancelled(answer, n.path("readTo").asLong(-1));
            }
        } catch (IOException e) {
            // counts as no heartbeat
        }
        return answer;
    }

    /** Only from a copy that was read whole, and only all of them: the asker counts on knowing every cancellation that was told from here. */
    private void tellCancelled(ObjectNode answer, long readTo) {
        List<String> ids = replica.loaded() && readTo >= 0 ? replica.cancelledSince(readTo) : List.of();
        if (replica.loaded() && readTo >= 0 && ids.size() <= MOST_CANCELLED) {
            ArrayNode list = answer.putArray("cancelled");
            ids.forEach(list::add);
        }
    }

    private void take(Heard h, JsonNode row) {
        String host = row.path(0).asText();
        h.machines.put(
                host,
                new ReportedMachine(
                        row.path(2).asBoolean(),
                        row.path(3).asBoolean(),
                        Duration.ofMillis(row.path(4).asLong()),
                        timeSource.now(),
                        row.path(5).asText(),
                        row.path(1).asLong()));
        for (int i = 6; i < row.size(); i++) {
            listener.imageSeen(host, row.get(i).asText());
        }
    }

    private void answered(String node, Duration asked, byte[] body) {
        try {
            JsonNode n = JSON.readTree(body);
            if (n != null && n.path("node").asText().equals(node)) {
                note(node, n);
                if (n.path("cancelled").isArray()) {
                    var ids = new ArrayList<String>();
                    n.get("cancelled").forEach(id -> ids.add(id.asText()));
                    listener.cancelled(node, asked, ids);
                }
                taken.put(
                        node,
                        n.path("tookOf").asLong() == incarnation.getAsLong()
                                ? n.path("took").asLong()
                                : 0L);
            }
        } catch (IOException e) {
            // counts as no heartbeat
        }
    }

    private void note(String node, JsonNode n) {
        heartbeats.put(
                node,
                new PeerState(
                        timeSource.now(),
                        n.path("inc").asLong(),
                        Duration.ofMillis(n.path("viewAgeMs").asLong()),
                        n.path("writes").asDouble(),
                        n.path("waiting").asInt()));
    }
}
