package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.dunespindle.protocol.JobKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Combinations of two or more faults, each brought about deliberately. The tests also assert that the combination took place. */
class CombinedFailuresTest {
    /** Submits arrays of five-minute tasks and runs the cluster until they are placed and running. */
    private static List<String> longJobs(SimulatedCluster cluster, int count) {
        cluster.taskDuration = Optional.of(Duration.ofMinutes(5));
        var ids = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            cluster.sim.after(
                    1000L + 400L * i,
                    () -> cluster.submit(ClusterTest.job(
                            id,
                            Integer.parseInt(id.substring(3)) % 2 == 0 ? "red" : "blue",
                            JobKind.ARRAY,
                            2,
                            false,
                            false)));
        }
        cluster.sim.run(Duration.ofSeconds(40));
        return ids;
    }

    private static int other(int node, int by) {
        return (node + by) % 3;
    }

    /** Cancels jobs through one controller and returns within a few milliseconds of the last confirmation. */
    private static void cancelAt(SimulatedCluster cluster, int node, List<String> ids) {
        cluster.userNode = node;
        ids.forEach(cluster::cancel);
        Duration latest = cluster.sim.now().plusSeconds(3);
        while (!ids.stream().allMatch(id -> cluster.cancelledAt(id).isPresent())
                && cluster.sim.now().compareTo(latest) < 0) {
            cluster.sim.run(cluster.sim.now().plusMillis(2));
        }
        cluster.userNode = -1;
        ids.forEach(id -> assertTrue(cluster.cancelledAt(id).isPresent(), id + " is not confirmed as cancelled"));
    }

    /**
     * The state store rejects only the leader, other controllers confirm cancellations, then the store is down for longer than {@code
     * cancel_s}. Workers keep sending heartbeats to the leader, which has never read the cancellations from the store: it must learn of
     * them from its peers.
     */
    @ParameterizedTest
    @ValueSource(longs = {301, 302, 303, 304, 305})
    void leaderRejectedByStoreStopsCancelledTasksThroughItsPeers(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = longJobs(cluster, 8);
        int leader = cluster.leader();
        List<FakeWorker> all = cluster.alive();
        cluster.refusedNode = leader;
        cluster.sim.run(cluster.sim.now().plusMillis(300 + 150 * (seed - 301)));
        List<String> cancelled = ids.subList(0, 4);
        cancelAt(cluster, other(leader, 1), cancelled);
        cluster.state.unavailable = true;
        Duration outageStart = cluster.sim.now();
        cluster.sim.run(outageStart.plusSeconds(6));
        assertEquals(
                List.of(),
                all.stream()
                        .filter(w -> cancelled.stream().anyMatch(w::hasTaskOf))
                        .map(FakeWorker::id)
                        .toList(),
                "the leader stops them at once when its peers report the cancellations");
        cluster.sim.run(outageStart.plus(SimulatedCluster.CANCEL_TIMEOUT).plusSeconds(15));
        assertEquals(List.of(), cluster.violations);
        assertEquals(
                List.of(),
                all.stream().filter(w -> w.session() > 1).map(FakeWorker::id).toList(),
                "workers whose leases expired although every cancellation is known");
        cluster.refusedNode = -1;
        cluster.state.recover();
        ids.subList(4, 8).forEach(cluster::cancel);
        cluster.sim.run(cluster.sim.now().plusSeconds(60));
        assertEquals(List.of(), cluster.violations);
        assertEquals(List.of(), cluster.startsAfterCancel);
    }

    /**
     * The same fault, but controllers cannot reach one another or the confirming controller has crashed: only lease expiry on the leader's
     * workers can end the cancelled tasks.
     */
    @ParameterizedTest
    @ValueSource(longs = {311, 312, 313, 314, 315, 316})
    void cancelledTasksUnknownToTheLeaderEndByLeaseExpiry(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = longJobs(cluster, 8);
        int leader = cluster.leader();
        cluster.refusedNode = leader;
        cluster.peersPartitioned = seed % 2 == 0;
        cluster.sim.run(cluster.sim.now().plusMillis(100 + 100 * (seed - 311)));
        int confirmingNode = other(leader, 1 + (int) seed / 2 % 2);
        cancelAt(cluster, confirmingNode, ids.subList(0, 4));
        cluster.state.unavailable = true;
        if (!cluster.peersPartitioned) {
            // Once restarted, it cannot read the store, so it has nothing to report to its peers.
            cluster.crash(confirmingNode, Duration.ofSeconds(2));
        }
        cluster.sim.run(cluster.sim.now().plus(SimulatedCluster.CANCEL_TIMEOUT).plusSeconds(25));
        assertEquals(List.of(), cluster.violations);
        cluster.peersPartitioned = false;
        cluster.refusedNode = -1;
        cluster.state.recover();
        ids.subList(4, 8).forEach(cluster::cancel);
        cluster.sim.run(cluster.sim.now().plusSeconds(90));
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * Random partitions between controllers, delays of their messages, a controller rejected by the store, crashes, freezes and a store
     * outage; cancellations go through a controller that the store accepts. A controller's conclusions from its peers' answers must be
     * correct in every combination.
     */
    @ParameterizedTest
    @MethodSource("outageSeeds")
    void cancelledTasksEndInTimeUnderRandomPeerPartitionsAndStoreOutages(long seed) {
        var cluster = new SimulatedCluster(seed);
        var random = new Random(seed);
        List<String> ids = longJobs(cluster, 8);
        for (int round = 0; round < 2; round++) {
            int rejectedNode = random.nextInt(4) == 0 ? random.nextInt(3) : cluster.leader();
            cluster.refusedNode = rejectedNode;
            for (int link = 0; link < 9; link++) {
                if (random.nextInt(5) == 0) {
                    cluster.blockedPeerLinks.add(link);
                }
            }
            cluster.maxPeerDelayMillis = random.nextInt(3) == 0 ? 1400 : 0;
            cluster.sim.run(cluster.sim.now().plusMillis(random.nextInt(5000)));
            int confirmingNode = other(Math.max(0, rejectedNode), 1 + random.nextInt(2));
            List<String> some = ids.subList(4 * round, 4 * round + 1 + random.nextInt(3));
            cluster.userNode = confirmingNode;
            some.forEach(cluster::cancel);
            cluster.sim.run(cluster.sim.now().plusMillis(30 + random.nextInt(250)));
            cluster.userNode = -1;
            cluster.state.unavailable = true;
            cluster.sim.run(cluster.sim.now().plusMillis(random.nextInt(1500)));
            switch (random.nextInt(4)) {
                case 0, 1 -> cluster.crash(confirmingNode, Duration.ofMillis(50 + random.nextInt(3000)));
                case 2 -> cluster.freeze(confirmingNode, Duration.ofMillis(2000 + random.nextInt(20_000)));
                default -> {}
            }
            cluster.sim.run(cluster.sim.now().plusMillis(3000 + random.nextInt(45_000)));
            cluster.refusedNode = -1;
            cluster.blockedPeerLinks.clear();
            cluster.state.recover();
            cluster.sim.run(cluster.sim.now().plusMillis(2000 + random.nextInt(12_000)));
        }
        cluster.sim.run(cluster.sim.now().plus(SimulatedCluster.CANCEL_TIMEOUT).plusSeconds(5));
        assertEquals(List.of(), cluster.violations);
    }

    static LongStream outageSeeds() {
        long from = Long.getLong("gap.from", 400);
        return LongStream.range(from, from + Integer.getInteger("gap.count", 40));
    }

    private static RandomFaultSchedule schedule(long seed) {
        var schedule = new RandomFaultSchedule(seed, RandomFaultSchedule.StateService.UNLIMITED);
        schedule.submitJobs(14);
        return schedule;
    }

    /** Draws a time within 4 s of the given one, so that faults start in any order. */
    private static Duration around(RandomFaultSchedule schedule, int second) {
        return Duration.ofMillis(second * 1000L + schedule.cluster().sim.random.nextInt(4000));
    }

    private static void assertHolds(RandomFaultSchedule schedule, String... events) {
        assertEquals(List.of(), schedule.run(), () -> schedule.faultLog().toString());
        for (String event : events) {
            assertTrue(
                    schedule.cluster().events.containsKey(event),
                    event + " did not occur: " + schedule.cluster().events);
        }
    }

    /**
     * The old leader is partitioned from the state store and its peers, but not from workers and users. Jobs whose cancellation the new
     * leader confirms must end on the old leader's machines too.
     */
    @ParameterizedTest
    @ValueSource(longs = {321, 322, 323, 324})
    void jobsCancelledAtTheNewLeaderEndOnMachinesOfThePartitionedOldLeader(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = longJobs(cluster, 8);
        int old = cluster.leader();
        cluster.isolatedNode = old;
        while (cluster.leader() == old || cluster.leader() < 0) {
            cluster.sim.run(cluster.sim.now().plusMillis(100 * (seed - 320)));
        }
        cancelAt(cluster, cluster.leader(), ids);
        cluster.sim.run(cluster.sim.now().plusSeconds(25 + 5 * (seed - 321)));
        cluster.isolatedNode = -1;
        cluster.sim.run(cluster.sim.now().plusSeconds(60));
        assertEquals(List.of(), cluster.violations);
        assertEquals(List.of(), cluster.startsAfterCancel);
        assertEquals(
                List.of(),
                cluster.alive().stream()
                        .filter(w -> ids.stream().anyMatch(w::hasTaskOf))
                        .map(FakeWorker::id)
                        .toList());
    }

    @ParameterizedTest
    @ValueSource(longs = {331, 332, 333, 334})
    void delayedHeartbeatsArriveAfterALeaderChange(long seed) {
        var schedule = schedule(seed);
        schedule.at(around(schedule, 18), () -> {
            schedule.cluster().alive().forEach(w -> {
                w.delayHeartbeats(Duration.ofMillis(7000 + 1000 * (seed - 330)));
                schedule.cluster().sim.after(3000, () -> w.delayHeartbeats(Duration.ZERO));
            });
            schedule.cluster()
                    .sim
                    .after(
                            500 * (seed - 331),
                            () -> schedule.cluster().crash(schedule.leader(), Duration.ofMillis(200)));
        });
        assertHolds(schedule, "delayed heartbeat");
    }

    /**
     * The leader changes ten times within two minutes, also during a store outage. Quota shares, placements, placeholders and stops of
     * former leaders must be neither lost nor applied twice.
     */
    @ParameterizedTest
    @ValueSource(longs = {341, 342, 343, 344})
    void tenLeaderChangesInTwoMinutesWithAStoreOutage(long seed) {
        var schedule = schedule(seed);
        for (int k = 0; k < 10; k++) {
            schedule.at(
                    Duration.ofMillis(6000 + 11_500L * k),
                    () -> schedule.cluster()
                            .crash(
                                    schedule.leader(),
                                    Duration.ofMillis(
                                            60 + schedule.cluster().sim.random.nextInt(1500))));
        }
        schedule.at(around(schedule, 40), () -> schedule.cluster().state.unavailable = true);
        schedule.at(Duration.ofSeconds(62), schedule.cluster().state::recover);
        schedule.at(
                around(schedule, 20),
                () -> schedule.cluster().cancel(schedule.ids().get(3)));
        assertHolds(schedule);
    }

    /**
     * The leader crashes while placeholders fetch their images and restarts within a second. It takes its machine records again because
     * the leader record still names it, but another controller is elected: then all placeholders wait on machines that the new leader
     * does not own.
     */
    @ParameterizedTest
    @MethodSource("formerLeaderSeeds")
    void placeholdersOfAFormerLeaderAreUsedByTheNewOne(long seed) {
        var cluster = new SimulatedCluster(seed, 7, 10);
        cluster.submit(ClusterTest.job("wk-000001", "red", JobKind.GANG, 6, false, false));
        cluster.submit(ClusterTest.job("wk-000002", "blue", JobKind.GANG, 5, false, false));
        while (!mode(cluster, "wk-000001").equals("HOLD")
                || !mode(cluster, "wk-000002").equals("HOLD")) {
            cluster.sim.run(cluster.sim.now().plusMillis(10));
            assertTrue(
                    cluster.sim.now().compareTo(Duration.ofSeconds(60)) < 0, "no placeholder was placed within 60 s");
        }
        int old = cluster.leader();
        cluster.crash(old, Duration.ofMillis(200 + 37 * (seed % 20)));
        cluster.sim.run(cluster.sim.now().plusSeconds(9));
        if (cluster.leader() != old) {
            cluster.recordEvent("another leader");
        }
        cluster.sim.run(cluster.sim.now().plusSeconds(30));
        for (String id : List.of("wk-000001", "wk-000002")) {
            assertTrue(
                    List.of("running", "done").contains(cluster.lastReportedPhase(id)),
                    id + " still waits for its placement timeout: " + cluster.invariants.dump());
        }
        assertEquals(List.of(), cluster.violations);
    }

    private static String mode(SimulatedCluster cluster, String id) {
        FakeStateStore.Row row = cluster.state.rows().get("ds/job/" + id);
        return row == null ? "" : row.value().path("mode").asText();
    }

    static LongStream formerLeaderSeeds() {
        long from = Long.getLong("former.from", 3500);
        return LongStream.range(from, from + Integer.getInteger("former.count", 10));
    }

    /**
     * The heartbeats of a machine are lost while commands reach it and are answered, so its lease expires again and again. It must get no
     * new tasks and must be terminated.
     */
    @ParameterizedTest
    @ValueSource(longs = {361, 362, 363})
    void machineThatCannotSendHeartbeatsGetsNoTasksAndIsTerminated(long seed) {
        var cluster = new SimulatedCluster(seed);
        List<String> ids = ClusterTest.submitMixedJobs(cluster, 12);
        cluster.sim.run(Duration.ofSeconds(8).plusMillis(400 * (seed - 360)));
        FakeWorker affected = cluster.alive().stream()
                .filter(w -> w.tasks().iterator().hasNext())
                .findFirst()
                .orElseThrow();
        affected.cannotSend(true);
        cluster.sim.run(Duration.ofSeconds(30));
        long occupied = affected.occupiedSlots();
        assertEquals(0, occupied, "tasks are started on it although its leases expire");
        cluster.sim.run(Duration.ofSeconds(75));
        assertTrue(affected.dead(), "the machine was not terminated");
        cluster.sim.run(Duration.ofSeconds(300));
        ClusterTest.assertAllDone(cluster, ids);
    }

    /**
     * The tasks of a job complete far apart with leader changes in between. The job must be reported as done within 3 s of the completion
     * of its last task, and never before. The test checks the latter; simulated users poll too seldom for the former.
     */
    @ParameterizedTest
    @ValueSource(longs = {371, 372, 373, 374})
    void jobIsNotDoneBeforeItsLastTaskAcrossLeaderChanges(long seed) {
        var cluster = new SimulatedCluster(seed);
        cluster.taskDurationOverride = p -> Optional.of(Duration.ofSeconds(4 + 17L * p.index()));
        var ids = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            String id = "wk-%06d".formatted(i);
            ids.add(id);
            cluster.submit(
                    ClusterTest.job(id, i % 2 == 0 ? "red" : "blue", JobKind.ARRAY, i % 2 == 0 ? 3 : 2, false, false));
        }
        for (int k = 0; k < 4; k++) {
            cluster.sim.after(
                    12_000L + 9000L * k + 500 * (seed - 371),
                    () -> cluster.crash(Math.max(0, cluster.leader()), Duration.ofMillis(300)));
        }
        cluster.sim.run(Duration.ofSeconds(55));
        Duration afterLastCrash = cluster.sim.now();
        cluster.sim.run(Duration.ofSeconds(200));
        ClusterTest.assertAllDone(cluster, ids);
        for (String id : ids) {
            Duration last = cluster.completedAt(id).orElseThrow();
            if (last.compareTo(afterLastCrash) > 0) {
                // The simulated user polls about every five seconds.
                assertEquals(200, cluster.poll(0, id).join().status());
            }
            assertTrue(cluster.finalStateReportedAt(id).orElseThrow().compareTo(last) >= 0, id);
        }
    }

    static LongStream unreachableMachineSeeds() {
        long from = Long.getLong("unreachable.from", 381);
        return LongStream.range(from, from + Integer.getInteger("unreachable.count", 5));
    }

    /** When the leader crashes, some machines with long tasks are disconnected and others cannot receive messages. */
    @ParameterizedTest
    @MethodSource("unreachableMachineSeeds")
    void leaderCrashesWhileMachinesAreUnreachable(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        cluster.taskDurationOverride = p -> Optional.of(Duration.ofSeconds(20 + p.index() % 3 * 8L));
        schedule.at(around(schedule, 24), () -> {
            List<FakeWorker> all = cluster.alive();
            for (int i = 0; i < all.size(); i++) {
                FakeWorker w = all.get(i);
                if (i % 3 == 0) {
                    cluster.disconnect(w, Duration.ofSeconds(6 + seed % 5 * 4));
                } else if (i % 3 == 1) {
                    w.cannotReceive(true);
                    cluster.sim.after(8000 + 4000 * (seed % 5), () -> w.cannotReceive(false));
                }
            }
            cluster.recordEvent("unreachable machines");
            cluster.crash(schedule.leader(), Duration.ofMillis(500 + 2000 * (seed % 3)));
        });
        assertHolds(schedule, "unreachable machines");
    }

    /** All machines hang several times for up to 9 s, which delays commands and answers, and jobs are cancelled meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {391, 392, 393, 394, 395})
    void machinesHangAndResumeWhileJobsAreCancelled(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        for (int k = 0; k < 5; k++) {
            schedule.at(
                    around(schedule, 9 + 7 * k),
                    () -> cluster.alive()
                            .forEach(w -> w.hang(Duration.ofMillis(1500 + cluster.sim.random.nextInt(7500)))));
        }
        schedule.addFault(RandomFaultSchedule.Fault.CANCEL_RUNNING_JOBS, around(schedule, 25));
        assertHolds(schedule, "CANCEL_RUNNING_JOBS");
    }

    @ParameterizedTest
    @ValueSource(longs = {401, 402, 403})
    void allControllersAreDownForLongerThanALease(long seed) {
        var schedule = schedule(seed);
        schedule.at(around(schedule, 22), () -> {
            for (int n = 0; n < 3; n++) {
                schedule.cluster().crash(n, SimulatedCluster.LEASE.plusMillis(1500 + 1100L * n));
            }
        });
        assertHolds(schedule);
    }

    /** Urgent and low-priority jobs exceed the capacity while every message is delayed by 250 ms. */
    @ParameterizedTest
    @ValueSource(longs = {411, 412})
    void jobsBeyondCapacityOverSlowLinks(long seed) {
        var schedule = new RandomFaultSchedule(seed, RandomFaultSchedule.StateService.UNLIMITED);
        schedule.cluster().extraDelayMillis = 250;
        schedule.submitJobs(30);
        schedule.at(Duration.ofSeconds(100), () -> schedule.cluster().extraDelayMillis = 0);
        assertHolds(schedule);
    }

    /**
     * The leader changes while a team is at its limit, one of its machines is disconnected and a job on it is cancelled. The use of that
     * job counts until its tasks are proven to have ended.
     */
    @ParameterizedTest
    @ValueSource(longs = {421, 422, 423, 424, 425})
    void teamAtItsLimitStaysWithinItWhenTheLeaderChanges(long seed) {
        var cluster = new SimulatedCluster(seed);
        cluster.taskDuration = Optional.of(Duration.ofSeconds(40));
        for (int i = 0; i < 4; i++) {
            cluster.submit(ClusterTest.job(
                    "wk-%06d".formatted(i), "blue", JobKind.ARRAY, 4, false, false)); // 16 tasks, 6 allowed at once
        }
        cluster.sim.run(Duration.ofSeconds(20).plusMillis(300 * (seed - 420)));
        assertEquals(
                6, cluster.alive().stream().mapToLong(FakeWorker::occupiedSlots).sum(), "the team is at its limit");
        List<FakeWorker> some = cluster.alive().stream()
                .filter(w -> w.occupiedSlots() > 0)
                .limit(1)
                .toList();
        String held = some.get(0).tasks().iterator().next().task.job();
        some.forEach(w -> cluster.disconnect(w, Duration.ofSeconds(9 + seed % 4)));
        cluster.crash(cluster.leader(), Duration.ofMillis(400));
        cluster.sim.run(cluster.sim.now().plusMillis(200 * (seed - 421)));
        cluster.cancel(held);
        cluster.sim.run(Duration.ofSeconds(260));
        assertEquals(List.of(), cluster.violations);
        for (int i = 0; i < 4; i++) {
            String id = "wk-%06d".formatted(i);
            assertEquals(id.equals(held) ? "cancelled" : "done", cluster.lastReportedPhase(id), id);
        }
    }

    /** A controller crashes and rejoins, then all crash; one restarts within a second, the others 18 and 25 s later. */
    @ParameterizedTest
    @ValueSource(longs = {431, 432, 433, 434})
    void controllerRejoinsThenAllCrashAndOneRestartsAtOnce(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        int node = (int) seed % 3;
        schedule.at(around(schedule, 9), () -> cluster.crash(node, Duration.ofMillis(2500)));
        schedule.at(around(schedule, 20), () -> {
            cluster.crash(node, Duration.ofMillis(150 + 200 * (seed - 431)));
            cluster.crash((node + 1) % 3, Duration.ofSeconds(25));
            cluster.crash((node + 2) % 3, Duration.ofSeconds(18));
        });
        assertHolds(schedule);
    }

    /**
     * The answers of a quarter of the transactions are lost and these are applied seconds later, after newer ones of the same controller,
     * while leaders change and jobs are cancelled.
     */
    @ParameterizedTest
    @ValueSource(longs = {441, 442, 443, 444, 445})
    void unacknowledgedTransactionsAreAppliedAfterNewerOnes(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        cluster.lateWriteRate = 0.25;
        schedule.at(around(schedule, 25), () -> cluster.crash(schedule.leader(), Duration.ofMillis(300)));
        schedule.addFault(RandomFaultSchedule.Fault.CANCEL_RUNNING_JOBS, around(schedule, 30));
        schedule.addFault(RandomFaultSchedule.Fault.REPEATED_AND_UNKNOWN_REQUESTS, around(schedule, 20));
        schedule.at(Duration.ofSeconds(90), () -> cluster.lateWriteRate = 0);
        assertHolds(schedule, "late write");
    }

    /**
     * Delayed duplicates of heartbeats arrive up to 38 s late, after newer ones, also at controllers that have just started. Some are
     * from earlier sessions because leases expire meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = {451, 452, 453, 454})
    void delayedDuplicateHeartbeatsOfEarlierSessions(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        cluster.delayedDuplicates = 3;
        cluster.maxDuplicateDelay = Duration.ofSeconds(38);
        schedule.at(
                around(schedule, 12),
                () -> cluster.alive().stream().limit(3).forEach(w -> cluster.disconnect(w, Duration.ofSeconds(14))));
        schedule.at(around(schedule, 33), () -> {
            assertTrue(cluster.alive().stream().anyMatch(w -> w.session() > 1), "no lease ran out");
            cluster.recordEvent("later session");
            cluster.crash(schedule.leader(), Duration.ofMillis(300));
        });
        schedule.at(Duration.ofSeconds(70), () -> cluster.delayedDuplicates = 0);
        assertHolds(schedule, "later session");
    }

    /**
     * A job is cancelled, polled and resubmitted at the moment of its completion, without other faults. It must never be reported as both
     * done and cancelled.
     */
    @ParameterizedTest
    @ValueSource(longs = {461, 462, 463, 464})
    void requestsAtTheMomentOfCompletionGetOneFinalState(long seed) {
        var schedule = schedule(seed);
        schedule.cluster().cancelAtCompletionRate = 1;
        schedule.cluster().requestsAtCompletion = true;
        assertHolds(schedule, "cancelled at completion");
        assertTrue(
                schedule.cluster().events.get("cancelled at completion")
                        >= schedule.ids().size(),
                "not every job was cancelled at its completion: " + schedule.cluster().events);
    }

    /**
     * The state store is slow, then rejects the leader, then all controllers for longer than {@code cancel_s}, while
     * users cancel and poll jobs.
     */
    @ParameterizedTest
    @ValueSource(longs = {471, 472, 473, 474})
    void slowStoreRejectsTheLeaderThenAllControllers(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        cluster.maxStateDelayMillis = 900;
        schedule.at(around(schedule, 22), () -> cluster.refusedNode = schedule.leader());
        schedule.addFault(RandomFaultSchedule.Fault.CANCEL_RUNNING_JOBS, around(schedule, 23));
        schedule.addFault(RandomFaultSchedule.Fault.CANCEL_RUNNING_JOBS, around(schedule, 28));
        schedule.at(around(schedule, 28), () -> cluster.state.unavailable = true);
        schedule.at(Duration.ofSeconds(66), () -> {
            cluster.refusedNode = -1;
            cluster.maxStateDelayMillis = 0;
            cluster.state.recover();
        });
        assertHolds(schedule, "CANCEL_RUNNING_JOBS");
    }

    /** Four machines are lost while the leader changes. The jobs include arrays spread over zones and jobs bound to a zone. */
    @ParameterizedTest
    @ValueSource(longs = {481, 482, 483, 484})
    void jobsWithZoneConstraintsLoseMachinesDuringALeaderChange(long seed) {
        var schedule = schedule(seed);
        SimulatedCluster cluster = schedule.cluster();
        for (int k = 0; k < 4; k++) {
            schedule.at(around(schedule, 14 + 8 * k), () -> {
                FakeWorker w = cluster.worker(cluster.sim.random.nextInt(20));
                if (w != null) {
                    cluster.recordEvent("machine lost");
                    cluster.crashMachine(w);
                }
            });
        }
        schedule.at(around(schedule, 26), () -> cluster.crash(schedule.leader(), Duration.ofMillis(200)));
        assertHolds(schedule, "machine lost");
    }
}
