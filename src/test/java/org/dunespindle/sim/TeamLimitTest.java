package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.dunespindle.control.Membership;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A team must never be allocated more than its limit. Guards against an incident in which a team with a limit of 60
 * accelerators had 61 on machines.
 *
 * <p>Several controllers placed two arrays of the team at once while the state store limited the write rate. Transactions conflicted on
 * the team's record and on a job together. No controller had crashed and no fencing token had changed.
 *
 * <p>Sequence: a controller's transaction that places some tasks of a job is pending. Meanwhile another controller stores most of that
 * job's tasks and a new team record. The first controller reads both, but still counts the job as in its own pending transaction. It
 * treats the new team record as fully accounted for and writes a bound for a second job that omits the other controller's allocations.
 *
 * <p>Cause: the use of a team was computed from a proposed record instead of the stored one. The first test reproduces the sequence;
 * before the fix it allocated 33 accelerators with a limit of 24.
 */
class TeamLimitTest {
    private static final int LIMIT = 24;
    private static final int MACHINES = 30;
    /** Gives each machine its own record, so that each is assigned to a controller by its own hash. */
    private static final int NAME_STEP = 10;

    /** The number of stored tasks from which on the limit is exceeded if they are not counted. */
    private static final int MIN_STORED_TASKS = 12;

    /** Longer than the test, so that idle machines are kept. */
    private static final double IDLE_RETURN_SECONDS = 600;

    private static final int STATE_DELAY_MILLIS = 400;

    private static final Duration TASK_DURATION = Duration.ofSeconds(60);

    static LongStream seeds() {
        long from = Long.getLong("limits.from", 30);
        return LongStream.range(from, from + Integer.getInteger("limits.count", 24));
    }

    /** The assignment of machines and jobs to controllers while all three are members; it depends on the names only. */
    private static Membership threeControllers() {
        var clock = new VirtualTime(0).new SimulatedProcess();
        var replica = new StateReplica(null, clock, Duration.ZERO, () -> {});
        for (int node = 0; node < 3; node++) {
            replica.applyCommitted(new Transaction().write(Keys.member("n" + node), MessagePackCodec.map()), node + 1);
        }
        return new Membership("n0", FormatVersion.NEWEST_WITHOUT_FEATURES, null, replica, clock);
    }

    /** Returns the first names of a format that are assigned to a controller. */
    private static List<String> namesOf(
            int node, String format, int step, Function<String, Optional<String>> owner, int count) {
        return IntStream.iterate(1, i -> i + step)
                .mapToObj(format::formatted)
                .filter(name -> owner.apply(name).equals(Optional.of("n" + node)))
                .limit(count)
                .toList();
    }

    /** One controller owns all machines in zone west, two on-demand and three spot machines; another owns five in zone east. */
    private static SimulatedCluster cluster(long seed, int west, int east) {
        var cluster = new SimulatedCluster(
                seed, ClusterShape.of(MACHINES, NAME_STEP).withLimits(Map.of("red", LIMIT, "blue", LIMIT)));
        Membership membership = threeControllers();
        List<String> ofWest = namesOf(west, "i-%04d", NAME_STEP, membership::controllerOfMachine, 5);
        ofWest.forEach(id -> cluster.addMachine(id, "west", ofWest.indexOf(id) >= 2));
        namesOf(east, "i-%04d", NAME_STEP, membership::controllerOfMachine, 5)
                .forEach(id -> cluster.addMachine(id, "east", false));
        return cluster;
    }

    private static Submission array(String id, int tasks, Optional<String> zone, boolean spot) {
        return SubmissionBuilder.submission(id)
                .jobClass("array")
                .priority(Priority.LOW)
                .tasks(tasks)
                .zone(zone)
                .spot(spot)
                .image("image-0")
                .estimate(TASK_DURATION)
                .build();
    }

    private static int allocated(SimulatedCluster cluster, String job) {
        FakeStateStore.Row row = cluster.state.rows().get(Keys.job(job));
        try {
            return row == null
                    ? 0
                    : JobRecord.parse(job, row.value()).allocations().size();
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The sequence of the incident, see the class comment. */
    @ParameterizedTest
    @ValueSource(longs = {4, 8, 10, 15, 21, 26})
    void storedAllocationsCountWhileAnOwnPlacementIsPending(long seed) {
        int rejectedNode = (int) (seed % 3);
        int other = (rejectedNode + 1) % 3;
        List<String> jobs = namesOf(rejectedNode, "wk-%06d", 1, threeControllers()::controllerOfJob, 3);
        String first = jobs.get(0);
        String shared = jobs.get(1);
        String last = jobs.get(2);
        SimulatedCluster cluster = cluster(seed, rejectedNode, other);
        cluster.taskDuration = Optional.of(TASK_DURATION);
        cluster.userNode = other;
        cluster.sim.run(Duration.ofSeconds(15));
        // Grants the quota shares: from now on each controller may place up to seven tasks
        // without writing the team record.
        cluster.submit(array(first, 1, Optional.of("west"), false));
        cluster.sim.run(cluster.sim.now().plusSeconds(6));
        assertTrue(cluster.startedAt.containsKey(first));
        // One controller has capacity for seven of these tasks and places them, but its writes are rejected; another
        // one stores all of them.
        cluster.writesRefusedNode = rejectedNode;
        cluster.submit(array(shared, 20, Optional.empty(), false));
        cluster.sim.run(cluster.sim.now().plusSeconds(5));
        assertTrue(allocated(cluster, shared) >= MIN_STORED_TASKS, () -> "stored tasks: " + allocated(cluster, shared));
        // Only the first controller has capacity for these.
        cluster.submit(array(last, 12, Optional.of("west"), true));
        cluster.sim.run(cluster.sim.now().plusMillis(1500));
        cluster.writesRefusedNode = -1;
        cluster.sim.run(cluster.sim.now().plusSeconds(6));
        assertTrue(
                cluster.events.containsKey("conflict of n" + rejectedNode + " about " + Keys.job(shared)),
                () -> "its placement had no conflict: " + cluster.events);
        assertEquals(List.of(), cluster.violations);
        cluster.sim.run(cluster.sim.now().plusSeconds(180));
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", cluster.lastReportedPhase(last));
    }

    /**
     * A controller restarts while its quota share is granted and used. If the new process used the share a second time, the allocations
     * together with the other controllers' shares would exceed the limit.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void restartedControllerDoesNotReuseItsQuotaShare(long seed) {
        int restarted = (int) (seed % 3);
        Membership membership = threeControllers();
        var cluster = new SimulatedCluster(
                seed, ClusterShape.of(MACHINES, NAME_STEP).withLimits(Map.of("red", LIMIT, "blue", LIMIT)));
        for (int node = 0; node < 3; node++) {
            namesOf(node, "i-%04d", NAME_STEP, membership::controllerOfMachine, 5)
                    .forEach(id -> cluster.addMachine(id, "east", false));
        }
        cluster.taskDuration = Optional.of(TASK_DURATION);
        cluster.sim.run(Duration.ofSeconds(15));
        cluster.setOptions(0, Map.of("idle_return_s", IDLE_RETURN_SECONDS));
        List<String> ofRestarted = namesOf(restarted, "wk-%06d", 1, membership::controllerOfJob, 2);
        cluster.submit(array(
                namesOf(restarted, "wk-9%05d", 1, membership::controllerOfJob, 1)
                        .get(0),
                1,
                Optional.empty(),
                true));
        cluster.sim.run(cluster.sim.now().plusSeconds(4));
        cluster.submit(array(ofRestarted.get(0), 7, Optional.empty(), true));
        cluster.sim.run(cluster.sim.now().plusSeconds(4));
        assertEquals(7, allocated(cluster, ofRestarted.get(0)));
        long granted = cluster.state.rows().get(Keys.team("red")).stamp();
        cluster.crash(restarted, Duration.ofMillis(300));
        cluster.sim.run(cluster.sim.now().plusSeconds(12));
        assertEquals(granted, cluster.state.rows().get(Keys.team("red")).stamp(), "the share is still granted");
        // Three jobs at once, one for each controller; none has read the others' placements yet.
        cluster.maxStateDelayMillis = STATE_DELAY_MILLIS;
        cluster.userNode = (restarted + 1) % 3;
        cluster.submit(array(ofRestarted.get(1), 7, Optional.empty(), true));
        for (int by = 1; by < 3; by++) {
            int node = (restarted + by) % 3;
            cluster.submit(array(
                    namesOf(node, "wk-%06d", 1, membership::controllerOfJob, 1).get(0), 7, Optional.empty(), true));
        }
        cluster.sim.run(cluster.sim.now().plusSeconds(180));
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", cluster.lastReportedPhase(ofRestarted.get(1)));
    }

    /** More seeds than the default are run with {@code mvn test -Dtest=TeamLimitTest -Dlimits.from=1000 -Dlimits.count=500}. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTeamExceedsItsLimitWithALimitedWriteRate(long seed) {
        var schedule = new TightLimitsSchedule(seed);
        assertEquals(List.of(), schedule.run(), () -> seed + ": " + schedule.faultLog());
        assertEquals(List.of(), schedule.unfinished(), () -> seed + ": " + schedule.faultLog());
    }
}
