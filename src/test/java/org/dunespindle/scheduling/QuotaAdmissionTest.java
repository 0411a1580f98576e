package org.dunespindle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.junit.jupiter.api.Test;

/** Several controllers with old views, late transactions and restarts never exceed a team's limit together. */
class QuotaAdmissionTest {
    private static final int NAMES = 3;

    /** A store with one team's record and its allocations, as a log that views lag behind. */
    private static final class Store {
        final List<double[]> log = new ArrayList<>(); // revision: change of use, 1 if the record changed
        QuotaAdmission.Reservation entry = QuotaAdmission.Reservation.NONE;
        long stamp;
        double use;

        boolean commit(long guard, double change, QuotaAdmission.Reservation written) {
            if (guard != stamp) {
                return false;
            }
            use += change;
            log.add(new double[] {change, written == null ? 0 : 1});
            if (written != null) {
                entry = written;
                stamp = log.size();
            }
            return true;
        }

        double useAt(long revision) {
            return log.subList(0, (int) revision).stream()
                    .mapToDouble(c -> c[0])
                    .sum();
        }
    }

    private record Late(long guard, double need, QuotaAdmission.Reservation written) {}

    private static final class Node {
        long born;
        long seen;
        long spentUnder = -1;
        double spent;
        double unsure;
        QuotaAdmission.Reservation entry = QuotaAdmission.Reservation.NONE;
        long stamp;

        void sync(Store s) {
            seen = s.log.size();
            entry = s.entry;
            stamp = s.stamp;
        }
    }

    @Property(seed = "31", tries = 400)
    void theLimitHolds(@ForAll long seed) {
        var random = new Random(seed);
        double limit = 20 + random.nextInt(400);
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, limit);
        var store = new Store();
        var late = new ArrayDeque<Late>();
        var nodes = new Node[NAMES];
        for (int i = 0; i < NAMES; i++) {
            nodes[i] = new Node();
        }
        int placed = 0;
        for (int step = 0; step < 400; step++) {
            Node n = nodes[random.nextInt(NAMES)];
            switch (random.nextInt(8)) {
                case 0, 1 -> n.sync(store);
                case 2 -> {
                    // Starting anew writes a record of its own, and it reads what is there.
                    store.log.add(new double[] {0, 0});
                    n.born = store.log.size();
                    n.spentUnder = -1;
                    n.spent = 0;
                    n.unsure = 0;
                    n.sync(store);
                }
                case 3 -> {
                    double less = Math.min(store.use, random.nextInt(30));
                    store.use -= less;
                    store.log.add(new double[] {-less, 0});
                }
                case 4 -> {
                    if (!late.isEmpty() && random.nextBoolean()) {
                        Late l = late.poll();
                        store.commit(l.guard, l.need, l.written);
                    }
                }
                default -> placed += place(n, store, team, 1 + random.nextInt(24), late, random) ? 1 : 0;
            }
            assertTrue(store.use <= limit + 1e-6, store.use + " of " + limit);
        }
        assertTrue(placed > 0, "nothing was ever placed");
        // Troubles over: whatever answers stayed out before, what the limit has room for is placed.
        late.forEach(l -> store.commit(l.guard, l.need, l.written));
        double last = Math.floor(limit - store.use);
        if (last >= 1) {
            Node n = nodes[random.nextInt(NAMES)];
            boolean done = false;
            for (int tries = 0; tries < 40 && !done; tries++) {
                n.sync(store);
                done = place(n, store, team, last, late, random);
            }
            assertTrue(done, last + " more beside " + store.use + " of " + limit + " is never placed");
        }
    }

    private static boolean place(
            Node n, Store store, Settings.Team team, double need, ArrayDeque<Late> late, Random random) {
        if (n.spentUnder != n.stamp) {
            n.spentUnder = n.stamp;
            n.spent = 0;
            n.unsure = 0;
        }
        double use = store.useAt(n.seen);
        if (use + need > team.gpusMax()) {
            return false;
        }
        var view = new QuotaAdmission.QuotaView(
                team, NAMES, n.entry, n.stamp > n.born, gpus(n.spent), gpus(n.unsure), n.seen >= n.stamp, gpus(use));
        QuotaAdmission.Decision way = QuotaAdmission.decide(view, gpus(need));
        if (way instanceof QuotaAdmission.Decision.Defer) {
            return false;
        }
        QuotaAdmission.Reservation written = way instanceof QuotaAdmission.Decision.AdmitWithReservation w
                ? w.reservation()
                : way instanceof QuotaAdmission.Decision.RevokeShares c ? c.reservation() : null;
        double change = way instanceof QuotaAdmission.Decision.RevokeShares ? 0 : need;
        if (random.nextInt(6) == 0) {
            // No answer: it may have been carried out, or may yet be.
            late.add(new Late(n.stamp, change, written));
            n.spent += change;
            n.unsure += change;
            return false;
        }
        boolean applied = store.commit(n.stamp, change, written);
        if (applied) {
            n.spent += change;
            // Its own change is taken over at once; others' before it may still be unseen, which the bound allows for.
            if (written == null && random.nextBoolean()) {
                n.unsure += change; // adopted late: counted as unsure meanwhile
            } else {
                n.sync(store);
            }
        }
        return applied && change > 0;
    }

    private static Resources gpus(double n) {
        return new Resources(0, n, 0);
    }

    @Test
    void closeToTheLimitEveryPlacementWritesTheRecord() {
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, 100);
        var view = new QuotaAdmission.QuotaView(
                team, NAMES, QuotaAdmission.Reservation.NONE, false, Resources.NONE, Resources.NONE, true, gpus(90));
        var write = assertInstanceOf(
                QuotaAdmission.Decision.AdmitWithReservation.class, QuotaAdmission.decide(view, gpus(8)));
        assertTrue(write.reservation().closed());
        assertInstanceOf(QuotaAdmission.Decision.Defer.class, QuotaAdmission.decide(view, gpus(11)));
    }

    @Test
    void farFromTheLimitASharedRecordIsNotWritten() {
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, 300);
        var entry = new QuotaAdmission.Reservation(gpus(0), new Resources(1e9, 100, 0));
        assertEquals(
                new QuotaAdmission.Decision.Admit(),
                QuotaAdmission.decide(
                        new QuotaAdmission.QuotaView(
                                team, NAMES, entry, true, gpus(60), Resources.NONE, true, gpus(60)),
                        gpus(40)));
        // Used up: the bound allows for all that the two others may have placed.
        var write = assertInstanceOf(
                QuotaAdmission.Decision.AdmitWithReservation.class,
                QuotaAdmission.decide(
                        new QuotaAdmission.QuotaView(
                                team, NAMES, entry, true, gpus(60), Resources.NONE, true, gpus(50)),
                        gpus(41)));
        assertEquals(291, write.reservation().bound().gpus());
        // What the bound cannot allow waits until the shares are closed.
        assertInstanceOf(
                QuotaAdmission.Decision.RevokeShares.class,
                QuotaAdmission.decide(
                        new QuotaAdmission.QuotaView(
                                team, NAMES, entry, true, gpus(100), Resources.NONE, true, gpus(70)),
                        gpus(60)));
    }

    @Test
    void whatGotNoAnswerCountsInANewBound() {
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, 300);
        var entry = new QuotaAdmission.Reservation(gpus(0), new Resources(1e9, 50, 0));
        var unanswered = new QuotaAdmission.QuotaView(team, NAMES, entry, true, gpus(40), gpus(40), true, gpus(0));
        var write = assertInstanceOf(
                QuotaAdmission.Decision.AdmitWithReservation.class, QuotaAdmission.decide(unanswered, gpus(20)));
        assertEquals(160, write.reservation().bound().gpus());
    }

    /** Records that the version before stored are read and written as the very same bytes. */
    @Test
    void whatTheVersionBeforeStoredIsWrittenTheSame() throws IOException {
        int teams = 0;
        try (var in = QuotaAdmissionTest.class.getResourceAsStream("/production-records.jsonl")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                JsonNode row = new ObjectMapper().readTree(line);
                if (row.path("key").asText().startsWith("ds/team/")) {
                    teams++;
                    QuotaAdmission.Reservation entry = QuotaAdmission.Reservation.parse(Optional.of(row.path("v")));
                    assertEquals(row.path("v").toString(), entry.toNode().toString());
                }
            }
        }
        assertTrue(teams >= 4, teams + " records");
    }
}
