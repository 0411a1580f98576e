package org.dunespindle.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Several controllers place tasks of one team's jobs, each using its own stale replica and with transactions in flight that may be reordered,
 * rejected or unacknowledged. The team's limit must hold, and the bound of its reservation must never be below the stored usage.
 */
class TeamUsageTest {
    private static final int MAX_CONTROLLERS = 3;
    private static final int JOBS = 4;
    private static final int STEPS = 500;
    private static final String TEAM = "red";
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private static JobRecord array(int id, int tasks) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-%06d".formatted(id))
                        .team(TEAM)
                        .priority(Priority.LOW)
                        .tasks(tasks)
                        .spot(true)
                        .estimate(Duration.ofSeconds(4))
                        .build(),
                Instant.EPOCH);
    }

    private static JobRecord placed(JobRecord job, int count) {
        var places = new LinkedHashMap<Integer, String>();
        job.unplaced(count).forEach(task -> places.put(task, "i-1"));
        return job.withPlaced(places);
    }

    private static JobRecord released(JobRecord job, int count) {
        var ended = new TreeMap<Integer, Boolean>();
        job.allocations().stream().limit(count).forEach(allocation -> ended.put(allocation.task(), false));
        return job.withReleased(ended);
    }

    /** A stored value and the revision at which it was written. */
    private record Versioned<T>(T value, long modRevision) {}

    /** A controller's replica of the store, which may be stale. */
    private record Replica(
            Map<Integer, Versioned<JobRecord>> jobs,
            Versioned<QuotaAdmission.Reservation> reservation,
            long appliedRevision) {}

    private static final class Store {
        private final Map<Integer, Versioned<JobRecord>> jobs = new TreeMap<>();
        private Versioned<QuotaAdmission.Reservation> reservation = new Versioned<>(QuotaAdmission.Reservation.NONE, 0);
        private long revision;

        Store() {
            for (int id = 0; id < JOBS; id++) {
                jobs.put(id, new Versioned<>(array(id, 1000), ++revision));
            }
        }

        Replica replicate() {
            return new Replica(new TreeMap<>(jobs), reservation, revision);
        }

        boolean apply(Proposal proposal) {
            if (jobs.get(proposal.job).modRevision != proposal.requiredJobRevision
                    || reservation.modRevision != proposal.requiredReservationRevision) {
                return false;
            }
            revision++;
            proposal.after.ifPresent(after -> jobs.put(proposal.job, new Versioned<>(after, revision)));
            proposal.reservation.ifPresent(written -> reservation = new Versioned<>(written, revision));
            return true;
        }

        double usage() {
            return jobs.values().stream()
                    .mapToInt(versioned -> versioned.value.allocations().size())
                    .sum();
        }
    }

    /** A transaction that places some tasks of a job, or only writes a new reservation. */
    private record Proposal(
            int job,
            long requiredJobRevision,
            Optional<JobRecord> after,
            long requiredReservationRevision,
            Optional<QuotaAdmission.Reservation> reservation,
            int tasks) {}

    private static final class Controller {
        private final int controllerCount;
        private Replica replica;
        private final Map<Integer, Proposal> inFlight = new TreeMap<>();
        private long incarnationRevision;
        private long accountedRevision = -1;
        private int accountedUsage;
        private int unacknowledged;

        Controller(int controllerCount, Store store) {
            this.controllerCount = controllerCount;
            replica = store.replicate();
        }

        /** A new process with the same node name writes its incarnation record; it has no state about transactions of its predecessor in flight. */
        void restart(Store store) {
            incarnationRevision = ++store.revision;
            inFlight.clear();
            accountedRevision = -1;
            replica = store.replicate();
        }

        TeamUsage usage() {
            var jobs = new ArrayList<ProjectedJob>();
            replica.jobs.forEach((id, versioned) -> {
                Optional<JobRecord> proposed =
                        Optional.ofNullable(inFlight.get(id)).flatMap(Proposal::after);
                jobs.add(new ProjectedJob(versioned.value, proposed.orElse(versioned.value)));
            });
            return TeamUsage.projected(jobs);
        }

        Optional<Proposal> propose(Settings.Team team, int job, int tasks, int endedTasks) {
            boolean reservationLocked =
                    inFlight.values().stream().anyMatch(proposal -> proposal.reservation.isPresent());
            if (reservationLocked || inFlight.containsKey(job)) {
                return Optional.empty();
            }
            if (accountedRevision != replica.reservation.modRevision) {
                accountedRevision = replica.reservation.modRevision;
                accountedUsage = 0;
                unacknowledged = 0;
            }
            Resources used = usage().of(TEAM);
            var view = new QuotaAdmission.QuotaView(
                    team,
                    controllerCount,
                    replica.reservation.value,
                    replica.reservation.modRevision,
                    replica.appliedRevision,
                    replica.reservation.modRevision > incarnationRevision,
                    gpus(accountedUsage),
                    gpus(unacknowledged),
                    used);
            QuotaAdmission.Decision decision = QuotaAdmission.decide(view, gpus(tasks));
            Versioned<JobRecord> stored = replica.jobs.get(job);
            Proposal proposal = null;
            if (decision instanceof QuotaAdmission.Decision.RevokeShares revocation) {
                proposal = new Proposal(
                        job,
                        stored.modRevision,
                        Optional.empty(),
                        replica.reservation.modRevision,
                        Optional.of(revocation.reservation()),
                        0);
            } else if (!(decision instanceof QuotaAdmission.Decision.Defer)) {
                Optional<QuotaAdmission.Reservation> reservation =
                        decision instanceof QuotaAdmission.Decision.AdmitWithReservation admission
                                ? Optional.of(admission.reservation())
                                : Optional.empty();
                JobRecord after = placed(released(stored.value, endedTasks), tasks);
                proposal = new Proposal(
                        job,
                        stored.modRevision,
                        Optional.of(after),
                        replica.reservation.modRevision,
                        reservation,
                        tasks);
                accountedUsage += tasks;
            }
            if (proposal != null) {
                inFlight.put(job, proposal);
            }
            return Optional.ofNullable(proposal);
        }

        /** Settles the account with a proposal's result, if the reservation has not changed since the proposal. */
        void settle(Proposal proposal, Store store, boolean applied, boolean answered) {
            inFlight.remove(proposal.job);
            boolean sameReservation = accountedRevision == proposal.requiredReservationRevision;
            if (!answered) {
                unacknowledged += sameReservation ? proposal.tasks : 0;
            } else if (!applied) {
                accountedUsage -= sameReservation ? proposal.tasks : 0;
            }
            if (!answered || !applied) {
                replica = store.replicate();
            } else {
                applyOwnChange(proposal, store);
            }
        }

        /** Applies the controller's own change immediately, while earlier changes of others may still be missing from the replica. */
        private void applyOwnChange(Proposal proposal, Store store) {
            var jobs = new TreeMap<>(replica.jobs);
            proposal.after.ifPresent(after -> jobs.put(proposal.job, store.jobs.get(proposal.job)));
            replica = new Replica(
                    jobs,
                    proposal.reservation.isPresent()
                            ? new Versioned<>(proposal.reservation.get(), store.revision)
                            : replica.reservation,
                    replica.appliedRevision);
        }
    }

    private static Resources gpus(double amount) {
        return new Resources(0, amount, 0);
    }

    /** A random history of replication, restarts, delayed transactions and missing answers. */
    private static final class History {
        private final Random random;
        private final Settings.Team team;
        private final Store store = new Store();
        private final List<Controller> controllers = new ArrayList<>();
        private final List<Proposal> unacknowledgedTransactions = new ArrayList<>();
        private int stored;

        History(long seed) {
            random = new Random(seed);
            team = new Settings.Team(TEAM, 0, Double.POSITIVE_INFINITY, 0, 20 + random.nextInt(100));
            // With fewer controllers, the allowance for unseen placements hides fewer errors in the usage.
            int controllerCount = 1 + random.nextInt(MAX_CONTROLLERS);
            for (int i = 0; i < controllerCount; i++) {
                controllers.add(new Controller(controllerCount, store));
            }
        }

        void step() {
            Controller controller = controllers.get(random.nextInt(controllers.size()));
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> controller.replica = store.replicate();
                case 3 -> storeTerminations();
                case 4 -> {
                    if (random.nextInt(10) == 0) {
                        unacknowledgedTransactions.addAll(controller.inFlight.values());
                        controller.restart(store);
                    }
                }
                case 5 -> {
                    if (!unacknowledgedTransactions.isEmpty()) {
                        commit(unacknowledgedTransactions.remove(random.nextInt(unacknowledgedTransactions.size())));
                    }
                }
                case 6, 7, 8 -> answer(controller);
                default ->
                    controller.propose(
                            team, random.nextInt(JOBS), 1 + random.nextInt(20), random.nextInt(3) == 0 ? 2 : 0);
            }
            check();
        }

        /** Stores the termination of some tasks. */
        private void storeTerminations() {
            int job = random.nextInt(JOBS);
            store.revision++;
            store.jobs.computeIfPresent(
                    job,
                    (id, versioned) -> new Versioned<>(released(versioned.value, random.nextInt(8)), store.revision));
        }

        private void answer(Controller controller) {
            if (controller.inFlight.isEmpty()) {
                return;
            }
            List<Proposal> proposals = List.copyOf(controller.inFlight.values());
            Proposal proposal = proposals.get(random.nextInt(proposals.size()));
            int outcome = random.nextInt(8);
            if (outcome == 0) {
                unacknowledgedTransactions.add(proposal);
                controller.settle(proposal, store, false, false);
            } else {
                boolean applied = commit(proposal);
                controller.settle(proposal, store, applied, outcome > 1);
            }
        }

        private boolean commit(Proposal proposal) {
            boolean applied = store.apply(proposal);
            if (applied && proposal.reservation.isPresent()) {
                double bound = store.reservation.value.bound().gpus();
                assertTrue(
                        store.usage() <= bound + ROUNDING_TOLERANCE,
                        store.usage() + " stored under a bound of " + bound);
            }
            stored += applied ? proposal.tasks : 0;
            return applied;
        }

        private void check() {
            assertTrue(store.usage() <= team.gpusMax(), store.usage() + " of " + team.gpusMax());
        }
    }

    @Property(seed = "32", tries = 500)
    void theQuotaHoldsWithTransactionsInFlight(@ForAll long seed) {
        var history = new History(seed);
        for (int step = 0; step < STEPS; step++) {
            history.step();
        }
        assertTrue(history.stored > 0, "nothing was ever placed");
    }

    @Test
    void aStaleProposalHidesNoStoredAllocation() {
        JobRecord before = array(1, 30);
        JobRecord own = placed(before, 2);
        JobRecord stored = placed(before, 20);
        assertEquals(
                20,
                TeamUsage.projected(List.of(new ProjectedJob(stored, own)))
                        .of(TEAM)
                        .gpus());
    }

    @Test
    void aProposalThatReleasesTasksFreesNothingBeforeItIsStored() {
        JobRecord stored = placed(array(1, 30), 5);
        JobRecord own = placed(stored.withReleased(Map.of(0, true, 1, true, 2, true)), 4);
        assertEquals(
                9,
                TeamUsage.projected(List.of(new ProjectedJob(stored, own)))
                        .of(TEAM)
                        .gpus());
    }

    /** A task runs on a single machine, regardless of which of its two allocations is stored. */
    @Test
    void aReplacedTaskCountsOnce() {
        JobRecord stored = placed(array(1, 30), 5);
        JobRecord own = placed(stored.withReleased(Map.of(0, false, 1, false, 2, false)), 4);
        assertEquals(
                6,
                TeamUsage.projected(List.of(new ProjectedJob(stored, own)))
                        .of(TEAM)
                        .gpus());
    }
}
