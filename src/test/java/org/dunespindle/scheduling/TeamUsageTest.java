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
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Several controllers place tasks of a few jobs of one team, each by its own copy of the store and with placements under way that may be
 * overtaken, refused, or left without an answer: the team's limit holds, and its record's bound is never below what is stored.
 */
class TeamUsageTest {
    private static final int MOST_CONTROLLERS = 3;
    private static final int JOBS = 4;
    private static final int STEPS = 500;
    private static final String TEAM = "red";
    private static final double ROUNDING = 1e-6;

    private static JobRecord array(int id, int tasks) {
        return JobRecord.accepted(
                new Submission(
                        "wk-%06d".formatted(id),
                        "class",
                        TEAM,
                        JobKind.ARRAY,
                        Priority.LOW,
                        tasks,
                        new Resources(1, 1, 1),
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        false,
                        true,
                        "image",
                        1,
                        Duration.ofSeconds(4),
                        Duration.ZERO,
                        Duration.ZERO,
                        Optional.empty()),
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
    private record Row<T>(T value, long stamp) {}

    /** What a controller knows of the store, which lags behind. */
    private record Copy(Map<Integer, Row<JobRecord>> jobs, Row<QuotaAdmission.Reservation> ledger, long syncedTo) {}

    private static final class Store {
        private final Map<Integer, Row<JobRecord>> jobs = new TreeMap<>();
        private Row<QuotaAdmission.Reservation> ledger = new Row<>(QuotaAdmission.Reservation.NONE, 0);
        private long revision;

        Store() {
            for (int id = 0; id < JOBS; id++) {
                jobs.put(id, new Row<>(array(id, 1000), ++revision));
            }
        }

        Copy copy() {
            return new Copy(new TreeMap<>(jobs), ledger, revision);
        }

        boolean apply(Proposal proposal) {
            if (jobs.get(proposal.job).stamp != proposal.jobStamp || ledger.stamp != proposal.ledgerStamp) {
                return false;
            }
            revision++;
            proposal.after.ifPresent(after -> jobs.put(proposal.job, new Row<>(after, revision)));
            proposal.entry.ifPresent(entry -> ledger = new Row<>(entry, revision));
            return true;
        }

        double use() {
            return jobs.values().stream()
                    .mapToInt(row -> row.value.allocations().size())
                    .sum();
        }
    }

    /** A placement of some tasks of a job, or a new record of the team alone. */
    private record Proposal(
            int job,
            long jobStamp,
            Optional<JobRecord> after,
            long ledgerStamp,
            Optional<QuotaAdmission.Reservation> entry,
            int tasks) {}

    private static final class Controller {
        private final int names;
        private Copy copy;
        private final Map<Integer, Proposal> underWay = new TreeMap<>();
        private long born;
        private long account = -1;
        private int spent;
        private int unsure;

        Controller(int names, Store store) {
            this.names = names;
            copy = store.copy();
        }

        /** A new process of the same name writes a record of its own, and knows nothing of what the old one had under way. */
        void restart(Store store) {
            born = ++store.revision;
            underWay.clear();
            account = -1;
            copy = store.copy();
        }

        TeamUsage use() {
            var jobs = new ArrayList<ProjectedJob>();
            copy.jobs.forEach((id, row) -> {
                Optional<JobRecord> proposed =
                        Optional.ofNullable(underWay.get(id)).flatMap(Proposal::after);
                jobs.add(new ProjectedJob(row.value, proposed.orElse(row.value)));
            });
            return TeamUsage.counted(jobs);
        }

        Optional<Proposal> propose(Settings.Team team, int job, int tasks, int endedTasks) {
            boolean recordLocked = underWay.values().stream().anyMatch(proposal -> proposal.entry.isPresent());
            if (recordLocked || underWay.containsKey(job)) {
                return Optional.empty();
            }
            if (account != copy.ledger.stamp) {
                account = copy.ledger.stamp;
                spent = 0;
                unsure = 0;
            }
            Resources used = use().of(TEAM);
            var view = new QuotaAdmission.QuotaView(
                    team,
                    names,
                    copy.ledger.value,
                    copy.ledger.stamp > born,
                    gpus(spent),
                    gpus(unsure),
                    copy.syncedTo >= copy.ledger.stamp,
                    used);
            if (!team.withinLimit(used.plus(gpus(tasks)))) {
                return Optional.empty();
            }
            QuotaAdmission.Decision way = QuotaAdmission.decide(view, gpus(tasks));
            Row<JobRecord> stored = copy.jobs.get(job);
            Proposal proposal = null;
            if (way instanceof QuotaAdmission.Decision.RevokeShares close) {
                proposal = new Proposal(
                        job, stored.stamp, Optional.empty(), copy.ledger.stamp, Optional.of(close.reservation()), 0);
            } else if (!(way instanceof QuotaAdmission.Decision.Defer)) {
                Optional<QuotaAdmission.Reservation> entry =
                        way instanceof QuotaAdmission.Decision.AdmitWithReservation write
                                ? Optional.of(write.reservation())
                                : Optional.empty();
                JobRecord after = placed(released(stored.value, endedTasks), tasks);
                proposal = new Proposal(job, stored.stamp, Optional.of(after), copy.ledger.stamp, entry, tasks);
                spent += tasks;
            }
            if (proposal != null) {
                underWay.put(job, proposal);
            }
            return Optional.ofNullable(proposal);
        }

        /** What became of a proposal is known; its account is that of the record under which it was made. */
        void settle(Proposal proposal, Store store, boolean applied, boolean answered) {
            underWay.remove(proposal.job);
            boolean sameRecord = account == proposal.ledgerStamp;
            if (!answered) {
                unsure += sameRecord ? proposal.tasks : 0;
            } else if (!applied) {
                spent -= sameRecord ? proposal.tasks : 0;
            }
            if (!answered || !applied) {
                copy = store.copy();
            } else {
                adopt(proposal, store);
            }
        }

        /** Own changes are taken over at once, while others' before them may still be unseen. */
        private void adopt(Proposal proposal, Store store) {
            var jobs = new TreeMap<>(copy.jobs);
            proposal.after.ifPresent(after -> jobs.put(proposal.job, store.jobs.get(proposal.job)));
            copy = new Copy(
                    jobs,
                    proposal.entry.isPresent() ? new Row<>(proposal.entry.get(), store.revision) : copy.ledger,
                    copy.syncedTo);
        }
    }

    private static Resources gpus(double amount) {
        return new Resources(0, amount, 0);
    }

    /** One history, with everything that keeps a proposal waiting or lets it be overtaken. */
    private static final class History {
        private final Random random;
        private final Settings.Team team;
        private final Store store = new Store();
        private final List<Controller> controllers = new ArrayList<>();
        private final List<Proposal> late = new ArrayList<>();
        private int stored;

        History(long seed) {
            random = new Random(seed);
            team = new Settings.Team(TEAM, 0, Double.POSITIVE_INFINITY, 0, 20 + random.nextInt(100));
            // The fewer there are, the less of what others may have placed unseen covers up for what is not counted.
            int names = 1 + random.nextInt(MOST_CONTROLLERS);
            for (int i = 0; i < names; i++) {
                controllers.add(new Controller(names, store));
            }
        }

        void step() {
            Controller controller = controllers.get(random.nextInt(controllers.size()));
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> controller.copy = store.copy();
                case 3 -> end();
                case 4 -> {
                    if (random.nextInt(10) == 0) {
                        late.addAll(controller.underWay.values());
                        controller.restart(store);
                    }
                }
                case 5 -> {
                    if (!late.isEmpty()) {
                        carryOut(late.remove(random.nextInt(late.size())));
                    }
                }
                case 6, 7, 8 -> answer(controller);
                default ->
                    controller.propose(
                            team, random.nextInt(JOBS), 1 + random.nextInt(20), random.nextInt(3) == 0 ? 2 : 0);
            }
            check();
        }

        /** Some tasks end, and that is stored. */
        private void end() {
            int job = random.nextInt(JOBS);
            store.revision++;
            store.jobs.computeIfPresent(
                    job, (id, row) -> new Row<>(released(row.value, random.nextInt(8)), store.revision));
        }

        private void answer(Controller controller) {
            if (controller.underWay.isEmpty()) {
                return;
            }
            List<Proposal> proposals = List.copyOf(controller.underWay.values());
            Proposal proposal = proposals.get(random.nextInt(proposals.size()));
            int fate = random.nextInt(8);
            if (fate == 0) {
                late.add(proposal);
                controller.settle(proposal, store, false, false);
            } else {
                boolean applied = carryOut(proposal);
                controller.settle(proposal, store, applied, fate > 1);
            }
        }

        private boolean carryOut(Proposal proposal) {
            boolean applied = store.apply(proposal);
            if (applied && proposal.entry.isPresent()) {
                double bound = store.ledger.value.bound().gpus();
                assertTrue(store.use() <= bound + ROUNDING, store.use() + " stored under a bound of " + bound);
            }
            stored += applied ? proposal.tasks : 0;
            return applied;
        }

        private void check() {
            assertTrue(store.use() <= team.gpusMax(), store.use() + " of " + team.gpusMax());
        }
    }

    @Property(seed = "32", tries = 500)
    void theLimitHoldsWhateverIsUnderWay(@ForAll long seed) {
        var history = new History(seed);
        for (int step = 0; step < STEPS; step++) {
            history.step();
        }
        assertTrue(history.stored > 0, "nothing was ever placed");
    }

    @Test
    void aProposalThatWasOvertakenHidesNothing() {
        JobRecord before = array(1, 30);
        JobRecord own = placed(before, 2);
        JobRecord stored = placed(before, 20);
        assertEquals(
                20,
                TeamUsage.counted(List.of(new ProjectedJob(stored, own)))
                        .of(TEAM)
                        .gpus());
    }

    @Test
    void aProposalThatGivesUpDoneTasksFreesNothingYet() {
        JobRecord stored = placed(array(1, 30), 5);
        JobRecord own = placed(stored.withReleased(Map.of(0, true, 1, true, 2, true)), 4);
        assertEquals(
                9,
                TeamUsage.counted(List.of(new ProjectedJob(stored, own)))
                        .of(TEAM)
                        .gpus());
    }

    /** Whether it is stored or not, a task is on one machine. */
    @Test
    void aTaskThatIsPlacedAgainCountsOnce() {
        JobRecord stored = placed(array(1, 30), 5);
        JobRecord own = placed(stored.withReleased(Map.of(0, false, 1, false, 2, false)), 4);
        assertEquals(
                6,
                TeamUsage.counted(List.of(new ProjectedJob(stored, own)))
                        .of(TEAM)
                        .gpus());
    }
}
