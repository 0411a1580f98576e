package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's place among the others: an incarnation that no earlier process of its name had, a
 * member key on a lease, and the leader key when nobody else holds it.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final Duration TTL = Duration.ofMillis(4500);
    private static final Duration RENEW_EVERY = Duration.ofMillis(1300);
    private static final Duration RETRY = Duration.ofMillis(400);
    private final String node;
    private final int newestFormat;
    private final StateStoreClient stateStore;
    private final StateReplica replica;
    private final TimeSource timeSource;
    private final Map<String, Optional<String>> hashes = new HashMap<>();
    private long hashedFor = -1;
    private long incarnation;
    private OptionalLong lease = OptionalLong.empty();
    private boolean joining;
    private boolean resigned;
    private boolean electing;

    /** Creates a membership that has not joined yet. */
    public Membership(
            String node, int newestFormat, StateStoreClient stateStore, StateReplica replica, TimeSource timeSource) {
        this.newestFormat = newestFormat;
        this.node = node;
        this.stateStore = stateStore;
        this.replica = replica;
        this.timeSource = timeSource;
    }

    /** This process's incarnation; 0 until it is stored. */
    public long incarnation() {
        return incarnation;
    }

    /** Whether this process has an incarnation and a member key. */
    public boolean joined() {
        return incarnation > 0 && !resigned && lease.isPresent() && isAlive(node, incarnation);
    }

    /** Whether an incarnation of a controller holds its lease. */
    public boolean isAlive(String name, long inc) {
        JsonNode m = replica.members().get(name);
        return m != null && m.path("inc").longValue() == inc;
    }

    /** The live incarnation of a controller, if it is a member. */
    public Optional<Long> incarnationOf(String name) {
        return Optional.ofNullable(replica.members().get(name))
                .map(m -> m.path("inc").longValue());
    }

    /** The newest format version that a live controller announces; 0 while it is no member. */
    int formatVersionOf(String name) {
        JsonNode member = replica.members().get(name);
        return member == null ? 0 : FormatVersion.of(Optional.of(member));
    }

    /** Whether this incarnation owns a machine. */
    public boolean owns(MachineRecord machine) {
        return machine.owner().equals(node) && machine.incarnation() == incarnation;
    }

    /** The leading controller's name. */
    public Optional<String> leader() {
        return replica.value(Keys.LEADER).map(v -> v.path("node").asText());
    }

    /** Whether this controller leads. */
    public boolean leads() {
        return joined()
                && replica.value(Keys.LEADER)
                        .filter(v -> v.path("node").asText().equals(node)
                                && v.path("inc").longValue() == incarnation)
                        .isPresent();
    }

    /**
     * The live controller that a machine hashes to (highest random weight, so that few move when one leaves). Machines
     * that share a page hash together, so that a change of hands costs one write for all of them.
     */
    public Optional<String> hashed(String host) {
        if (hashedFor != replica.memberVersion()) {
            hashedFor = replica.memberVersion();
            hashes.clear();
        }
        return hashes.computeIfAbsent(Keys.machinePageName(host), this::weigh);
    }

    /** The live controller that looks after a job first. */
    public Optional<String> homeOf(String job) {
        return weigh(job);
    }

    private Optional<String> weigh(String host) {
        return heaviest(replica.members().keySet(), host);
    }

    /** Which of some controllers a machine would hash to if they were the live ones. */
    public Optional<String> hashedAmong(Set<String> names, String host) {
        return heaviest(names, Keys.machinePageName(host));
    }

    private static Optional<String> heaviest(Set<String> names, String host) {
        String best = null;
        int bestWeight = 0;
        for (String name : names) {
            int weight = mix((name + '|' + host).hashCode());
            if (best == null || weight > bestWeight) {
                best = name;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int mix(int h) {
        int x = h * 0x9E3779B9;
        x ^= x >>> 15;
        x *= 0x85EBCA6B;
        return x ^ (x >>> 13);
    }

    /** Called regularly: joins, and takes the leader key when it is free. */
    public void tick() {
        if (!replica.loaded()) {
            return;
        }
        if (!resigned && !joining && (incarnation == 0 || lease.isEmpty())) {
            join();
        } else if (joined()) {
            elect();
        }
    }

    /** Gives up the lease, and all that hangs on it, until it is asked back; an answer that stays out changes nothing: the lease ends by itself. */
    public void resign() {
        resigned = true;
        lease.ifPresent(stateStore::endLease);
        lease = OptionalLong.empty();
    }

    public void rejoin() {
        resigned = false;
    }

    private void join() {
        joining = true;
        if (incarnation == 0) {
            String key = Keys.INCARNATION + node;
            long next = replica.value(key).map(v -> v.path("n").longValue()).orElse(0L) + 1;
            var transaction = new Transaction()
                    .requireRevision(key, replica.modRevision(key))
                    .write(key, MessagePackCodec.map().put("n", next));
            stateStore.commit(transaction).thenAccept(result -> {
                if (result instanceof TransactionResult.Applied a) {
                    replica.applyCommitted(transaction, a.revision());
                    incarnation = next;
                    openLease();
                } else {
                    // An unknown outcome may have used this number up; read before choosing another.
                    replica.refresh(this::retryJoin, this::retryJoin);
                }
            });
        } else {
            openLease();
        }
    }

    private void retryJoin() {
        timeSource.schedule(RETRY, () -> joining = false);
    }

    private void openLease() {
        stateStore.openLease(TTL).whenComplete((opened, failure) -> {
            if (failure != null || opened.isEmpty()) {
                retryJoin();
                return;
            }
            long id = opened.getAsLong();
            var transaction = new Transaction()
                    .writeWithLease(Keys.member(node), memberRecord(), id)
                    .requireRevision(Keys.member(node), replica.modRevision(Keys.member(node)));
            stateStore.commit(transaction).thenAccept(result -> {
                if (result instanceof TransactionResult.Applied a) {
                    replica.applyCommitted(transaction, a.revision());
                    lease = OptionalLong.of(id);
                    joining = false;
                    LOG.info("{} joined as incarnation {}", node, incarnation);
                    scheduleRenewal(id);
                } else {
                    replica.refresh(this::retryJoin, this::retryJoin);
                }
            });
        });
    }

    /** The announcement of the newest format version that this program reads; earlier programs ignore it. */
    private ObjectNode memberRecord() {
        return FormatVersion.put(MessagePackCodec.map().put("inc", incarnation), newestFormat);
    }

    private void scheduleRenewal(long id) {
        timeSource.schedule(RENEW_EVERY, () -> renew(id));
    }

    private void renew(long id) {
        if (lease.isEmpty() || lease.getAsLong() != id) {
            return; // given up
        }
        stateStore.renewLease(id).whenComplete((alive, failure) -> {
            if (failure != null) {
                timeSource.schedule(RETRY, () -> renew(id));
            } else if (alive) {
                scheduleRenewal(id);
            } else if (lease.isPresent() && lease.getAsLong() == id) {
                LOG.info("{} lost its membership lease; joining again", node);
                lease = OptionalLong.empty();
            }
        });
    }

    private void elect() {
        Optional<JsonNode> now = replica.value(Keys.LEADER);
        boolean held = now.filter(
                        v -> isAlive(v.path("node").asText(), v.path("inc").longValue()))
                .isPresent();
        if (held || electing) {
            return;
        }
        electing = true;
        var transaction = new Transaction()
                .requireRevision(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .writeWithLease(
                        Keys.LEADER,
                        MessagePackCodec.map().put("node", node).put("inc", incarnation),
                        lease.orElseThrow());
        stateStore.commit(transaction).thenAccept(result -> {
            if (result instanceof TransactionResult.Applied a) {
                replica.applyCommitted(transaction, a.revision());
                LOG.info("{} leads now", node);
            }
            replica.refresh(() -> electing = false, () -> electing = false);
        });
    }
}
