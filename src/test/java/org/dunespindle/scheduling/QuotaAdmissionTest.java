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

/** Checks that several controllers with stale replicas, delayed transactions and restarts never exceed a team's quota together. */
class QuotaAdmissionTest {
    private static final int CONTROLLERS = 3;

    /** A store with one team's reservation and its usage as a change log, which replicas may lag behind. */
    private static final class Store {
        final List<double[]> log = new ArrayList<>(); // by revision: change of usage, 1 if the reservation changed
        QuotaAdmission.Reservation reservation = QuotaAdmission.Reservation.NONE;
        long reservationRevision;
        double usage;

        boolean commit(long requiredRevision, double change, QuotaAdmission.Reservation written) {
            if (requiredRevision != reservationRevision) {
                return false;
            }
            usage += change;
            log.add(new double[] {change, written == null ? 0 : 1});
            if (written != null) {
                reservation = written;
                reservationRevision = log.size();
            }
            return true;
        }

        double usageAt(long revision) {
            return log.subList(0, (int) revision).stream()
                    .mapToDouble(change -> change[0])
                    .sum();
        }
    }

    /** A transaction without an answer, which may still be applied. */
    private record UnacknowledgedTransaction(long requiredRevision, double change, QuotaAdmission.Reservation written) {
        boolean commit(Store store) {
            return store.commit(requiredRevision, change, written);
        }
    }

    private static final class Controller {
        long incarnationRevision;
        long appliedRevision;
        long accountedRevision = -1;
        double accountedUsage;
        double unacknowledged;
        QuotaAdmission.Reservation reservation = QuotaAdmission.Reservation.NONE;
        long reservationRevision;

        void sync(Store store) {
            appliedRevision = store.log.size();
            reservation = store.reservation;
            reservationRevision = store.reservationRevision;
        }
    }

    @Property(seed = "31", tries = 400)
    void theQuotaIsNeverExceeded(@ForAll long seed) {
        var random = new Random(seed);
        double limit = 20 + random.nextInt(400);
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, limit);
        var store = new Store();
        var unacknowledged = new ArrayDeque<UnacknowledgedTransaction>();
        var controllers = new Controller[CONTROLLERS];
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers[i] = new Controller();
        }
        int placed = 0;
        for (int step = 0; step < 400; step++) {
            Controller controller = controllers[random.nextInt(CONTROLLERS)];
            switch (random.nextInt(8)) {
                case 0, 1 -> controller.sync(store);
                case 2 -> {
                    // A restarted process writes its incarnation record and reads the store.
                    store.log.add(new double[] {0, 0});
                    controller.incarnationRevision = store.log.size();
                    controller.accountedRevision = -1;
                    controller.accountedUsage = 0;
                    controller.unacknowledged = 0;
                    controller.sync(store);
                }
                case 3 -> {
                    double less = Math.min(store.usage, random.nextInt(30));
                    store.usage -= less;
                    store.log.add(new double[] {-less, 0});
                }
                case 4 -> {
                    if (!unacknowledged.isEmpty() && random.nextBoolean()) {
                        unacknowledged.poll().commit(store);
                    }
                }
                default ->
                    placed += place(controller, store, team, 1 + random.nextInt(24), unacknowledged, random) ? 1 : 0;
            }
            assertTrue(store.usage <= limit + 1e-6, store.usage + " of " + limit);
        }
        assertTrue(placed > 0, "nothing was ever placed");
        // Without further faults, tasks within the remaining quota are placed, regardless of earlier missing answers.
        unacknowledged.forEach(transaction -> transaction.commit(store));
        double last = Math.floor(limit - store.usage);
        if (last >= 1) {
            Controller controller = controllers[random.nextInt(CONTROLLERS)];
            boolean done = false;
            for (int tries = 0; tries < 40 && !done; tries++) {
                controller.sync(store);
                done = place(controller, store, team, last, unacknowledged, random);
            }
            assertTrue(done, last + " more beside " + store.usage + " of " + limit + " is never placed");
        }
    }

    private static boolean place(
            Controller controller,
            Store store,
            Settings.Team team,
            double need,
            ArrayDeque<UnacknowledgedTransaction> unacknowledged,
            Random random) {
        if (controller.accountedRevision != controller.reservationRevision) {
            controller.accountedRevision = controller.reservationRevision;
            controller.accountedUsage = 0;
            controller.unacknowledged = 0;
        }
        double usage = store.usageAt(controller.appliedRevision);
        var view = new QuotaAdmission.QuotaView(
                team,
                CONTROLLERS,
                controller.reservation,
                controller.reservationRevision,
                controller.appliedRevision,
                controller.reservationRevision > controller.incarnationRevision,
                gpus(controller.accountedUsage),
                gpus(controller.unacknowledged),
                gpus(usage));
        QuotaAdmission.Decision decision = QuotaAdmission.decide(view, gpus(need));
        if (decision instanceof QuotaAdmission.Decision.Defer) {
            return false;
        }
        QuotaAdmission.Reservation written = decision instanceof QuotaAdmission.Decision.AdmitWithReservation admission
                ? admission.reservation()
                : decision instanceof QuotaAdmission.Decision.RevokeShares revocation ? revocation.reservation() : null;
        double change = decision instanceof QuotaAdmission.Decision.RevokeShares ? 0 : need;
        if (random.nextInt(6) == 0) {
            // No answer: the transaction may have been applied, or may be applied later.
            unacknowledged.add(new UnacknowledgedTransaction(controller.reservationRevision, change, written));
            controller.accountedUsage += change;
            controller.unacknowledged += change;
            return false;
        }
        boolean applied = store.commit(controller.reservationRevision, change, written);
        if (applied) {
            controller.accountedUsage += change;
            // The own change is replicated at once or, if it writes no reservation, possibly late. The bound covers
            // changes of others that are missing until then.
            if (written == null && random.nextBoolean()) {
                controller.unacknowledged += change; // replicated late: counted as unacknowledged until then
            } else {
                controller.sync(store);
            }
        }
        return applied && change > 0;
    }

    private static Resources gpus(double amount) {
        return new Resources(0, amount, 0);
    }

    /** The view of a controller that may use its share and whose replica has applied the reservation. */
    private static QuotaAdmission.QuotaView view(
            Settings.Team team,
            QuotaAdmission.Reservation reservation,
            Resources accountedUsage,
            Resources unacknowledged,
            Resources usage) {
        return new QuotaAdmission.QuotaView(
                team, CONTROLLERS, reservation, 1, 1, true, accountedUsage, unacknowledged, usage);
    }

    @Test
    void nearTheQuotaEveryPlacementWritesTheReservation() {
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, 100);
        var view = new QuotaAdmission.QuotaView(
                team,
                CONTROLLERS,
                QuotaAdmission.Reservation.NONE,
                0,
                0,
                false,
                Resources.NONE,
                Resources.NONE,
                gpus(90));
        var write = assertInstanceOf(
                QuotaAdmission.Decision.AdmitWithReservation.class, QuotaAdmission.decide(view, gpus(8)));
        assertTrue(write.reservation().hasNoShare());
        assertInstanceOf(QuotaAdmission.Decision.Defer.class, QuotaAdmission.decide(view, gpus(11)));
    }

    @Test
    void farFromTheQuotaPlacementsWithinTheShareDoNotWriteTheReservation() {
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, 300);
        var reservation = new QuotaAdmission.Reservation(gpus(0), new Resources(1e9, 100, 0));
        assertEquals(
                new QuotaAdmission.Decision.Admit(),
                QuotaAdmission.decide(view(team, reservation, gpus(60), Resources.NONE, gpus(60)), gpus(40)));
        // The share is used up: the new bound includes all that the two other controllers may have placed.
        var write = assertInstanceOf(
                QuotaAdmission.Decision.AdmitWithReservation.class,
                QuotaAdmission.decide(view(team, reservation, gpus(60), Resources.NONE, gpus(50)), gpus(41)));
        assertEquals(291, write.reservation().bound().gpus());
        // A request that does not fit beside the coarse bound waits until the shares are revoked.
        assertInstanceOf(
                QuotaAdmission.Decision.RevokeShares.class,
                QuotaAdmission.decide(view(team, reservation, gpus(100), Resources.NONE, gpus(70)), gpus(60)));
    }

    @Test
    void unacknowledgedPlacementsCountInANewBound() {
        var team = new Settings.Team("t", 0, Double.POSITIVE_INFINITY, 0, 300);
        var reservation = new QuotaAdmission.Reservation(gpus(0), new Resources(1e9, 50, 0));
        var unanswered = view(team, reservation, gpus(40), gpus(40), gpus(0));
        var write = assertInstanceOf(
                QuotaAdmission.Decision.AdmitWithReservation.class, QuotaAdmission.decide(unanswered, gpus(20)));
        assertEquals(160, write.reservation().bound().gpus());
    }

    /** Records stored by the previous version are re-encoded without any change. */
    @Test
    void reservationsStoredByThePreviousVersionAreEncodedUnchanged() throws IOException {
        int teams = 0;
        try (var in = QuotaAdmissionTest.class.getResourceAsStream("/production-records.jsonl")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                JsonNode row = new ObjectMapper().readTree(line);
                if (row.path("key").asText().startsWith("ds/team/")) {
                    teams++;
                    QuotaAdmission.Reservation reservation =
                            QuotaAdmission.Reservation.fromJson(Optional.of(row.path("v")));
                    assertEquals(row.path("v").toString(), reservation.toJson().toString());
                }
            }
        }
        assertTrue(teams >= 4, teams + " records");
    }
}
