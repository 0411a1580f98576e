package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntRBTreeSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;

/** Transitions of job records under generated sequences of placement, release and failure. */
class JobRecordTest {
    private static JobRecord job(JobKind kind, int tasks) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-000001")
                        .jobClass("c")
                        .team("t")
                        .kind(kind)
                        .priority(Priority.LOW)
                        .tasks(tasks)
                        .image("i")
                        .estimate(Duration.ofSeconds(1))
                        .build(),
                Instant.ofEpochMilli(1000));
    }

    @Property(seed = "11", tries = 150)
    void everyArrayTaskEndsDoneExactlyOnce(@ForAll long seed) throws MalformedMessageException {
        var random = new Random(seed);
        int tasks = 1 + random.nextInt(40);
        JobRecord job = job(JobKind.ARRAY, tasks);
        Set<Integer> done = new HashSet<>();
        var attempts = new HashMap<Integer, Set<Long>>();
        for (int step = 0; step < 5000 && job.isOpen(); step++) {
            if (random.nextBoolean() && job.unplacedCount() > 0) {
                var machineIds = new LinkedHashMap<Integer, String>();
                for (int t : job.unplaced(1 + random.nextInt(5))) {
                    if (random.nextInt(4) > 0) {
                        machineIds.put(t, "h" + random.nextInt(3));
                    }
                }
                if (!machineIds.isEmpty()) {
                    job = job.withPlaced(machineIds);
                }
                for (Allocation allocation : job.allocations()) {
                    if (machineIds.containsKey(allocation.task())) {
                        assertTrue(
                                attempts.computeIfAbsent(allocation.task(), t -> new HashSet<>())
                                        .add(allocation.attemptBase()),
                                "an attempt was used twice");
                    }
                }
            } else if (!job.allocations().isEmpty()) {
                Allocation allocation =
                        job.allocations().get(random.nextInt(job.allocations().size()));
                boolean succeeds = random.nextInt(3) > 0;
                if (succeeds) {
                    assertTrue(done.add(allocation.task()), "done twice");
                }
                job = job.withReleased(allocation.task(), succeeds);
            }
            job = JobRecord.parse(job.id(), MessagePackCodec.read(MessagePackCodec.write(job.toNode())));
            assertEquals(done.size(), job.doneCount());
        }
        assertEquals(JobRecord.Outcome.DONE, job.outcome());
        assertEquals(tasks, done.size());
        assertTrue(job.spec().isEmpty(), "a finished job keeps only its outcome");
    }

    @Test
    void skippedTasksAreNotCountedAsDone() {
        JobRecord job = job(JobKind.ARRAY, 5).withPlaced(new TreeMap<>(Map.of(3, "h")));
        assertEquals(0, job.doneCount());
        assertEquals(List.of(0, 1, 2, 4), new IntArrayList(new IntRBTreeSet(job.unplaced(10))));
    }

    @Test
    void placeholdersOfAGangNeverShareAnAttempt() {
        JobRecord job = job(JobKind.GANG, 3).withPlaced(new TreeMap<>(Map.of(0, "a", 1, "b", 2, "c")));
        var attempts = new HashSet<Long>();
        job.allocations().forEach(allocation -> attempts.add(allocation.attemptBase() + allocation.task()));
        assertEquals(3, attempts.size());
        JobRecord replaced = job.withPlaceholderReplaced(1);
        assertEquals(
                List.of("a", "b", "c"),
                replaced.allocations().stream().map(Allocation::machineId).toList());
        long before = job.expectedAttempt(job.allocation(1).orElseThrow());
        long after = replaced.expectedAttempt(replaced.allocation(1).orElseThrow());
        assertTrue(after > before && !attempts.contains(after));
        JobRecord running = replaced.withGangRunning();
        assertEquals(
                1,
                running.allocations().stream()
                        .map(running::expectedAttempt)
                        .distinct()
                        .count());
        assertTrue(running.gangAttempt() > after, "the common attempt must be new");
    }

    @Test
    void aServiceNeverCompletesByItself() {
        JobRecord job = job(JobKind.SERVICE, 1)
                .withPlaced(new TreeMap<>(Map.of(0, "h")))
                .withReleased(0, true);
        assertTrue(job.isOpen());
        assertEquals(1, job.unplacedCount());
    }

    @Test
    void aCancelledJobKeepsItsAllocationsUntilTheyAreReleased() {
        JobRecord job = job(JobKind.ARRAY, 2)
                .withPlaced(new TreeMap<>(Map.of(0, "h", 1, "h")))
                .cancelled();
        assertEquals(2, job.allocations().size());
        assertEquals(0, job.unplacedCount());
        job = job.withReleased(0, false).withReleased(1, true);
        assertEquals(JobRecord.Outcome.CANCELLED, job.outcome());
        assertTrue(job.spec().isEmpty());
    }

    @Test
    void recordsOfHugeArraysStaySmall() {
        JobRecord job = job(JobKind.ARRAY, Submission.MAX_TASKS);
        var machineIds = new LinkedHashMap<Integer, String>();
        for (int i = 0; i < 250; i++) {
            machineIds.put(i, "i-%06d".formatted(i % 30));
        }
        assertTrue(MessagePackCodec.jsonSize(job.withPlaced(machineIds).toNode()) < 8 << 10);
    }

    /** A gang as large as a team's quota: 800 accelerators on 400 machines, placed in several steps and partly stopping. */
    @Property(seed = "13", tries = 30)
    void recordsOfTheLargestGangsFitOneValue(@ForAll long seed) throws MalformedMessageException {
        var random = new Random(seed);
        int tasks = 800;
        JobRecord job = job(JobKind.GANG, tasks);
        int next = 0;
        while (next < tasks) {
            var machineIds = new LinkedHashMap<Integer, String>();
            for (int end = Math.min(tasks, next + 2 + 2 * random.nextInt(100)); next < end; next++) {
                machineIds.put(next, "i-%06d".formatted(200 + next / 2));
            }
            job = job.withPlaced(machineIds);
        }
        for (int t = 0; t < tasks; t += 2) {
            job = random.nextBoolean() && t < 100 ? job.withTaskStopping(t) : job;
        }
        assertTrue(
                MessagePackCodec.jsonSize(job.toNode()) < 8 << 10, "bytes: " + MessagePackCodec.jsonSize(job.toNode()));
        assertEquals(
                Set.copyOf(job.allocations()),
                Set.copyOf(JobRecord.parse(job.id(), MessagePackCodec.read(MessagePackCodec.write(job.toNode())))
                        .allocations()));
    }

    /** A huge array's record fits one value after any sequence of transitions within the allocations that one plan allows. */
    @Property(seed = "14", tries = 12)
    void recordsFitOneValueAfterAnySequenceOfTransitions(@ForAll long seed) {
        var random = new Random(seed);
        JobRecord job = job(JobKind.ARRAY, Submission.MAX_TASKS);
        int written = 0;
        for (int step = 0; step < 300; step++) {
            JobRecord after = job;
            if (random.nextInt(3) > 0 && job.allocations().size() < 290) {
                var machineIds = new LinkedHashMap<Integer, String>();
                for (int t : job.unplaced(1 + random.nextInt(6))) {
                    machineIds.put(t, "i-%06d".formatted(random.nextInt(1300)));
                }
                after = job.withPlaced(machineIds);
                if (MessagePackCodec.jsonSize(after.toNode()) > (8 << 10) * 0.7) {
                    after = job; // placement skips records above this part of the limit too
                } else {
                    written++;
                }
            } else if (!job.allocations().isEmpty()) {
                Allocation allocation =
                        job.allocations().get(random.nextInt(job.allocations().size()));
                after = random.nextInt(3) == 0
                        ? job.withTaskStopping(allocation.task())
                        : job.withReleased(allocation.task(), random.nextBoolean());
            }
            job = after;
            assertTrue(
                    MessagePackCodec.jsonSize(job.toNode()) <= 8 << 10,
                    "bytes: " + MessagePackCodec.jsonSize(job.toNode()));
        }
        assertTrue(written > 50);
    }

    @Property(seed = "12", tries = 100)
    void taskIndexSetsRoundTrip(@ForAll long seed) {
        var random = new Random(seed);
        var set = new IntRBTreeSet();
        for (int i = 0; i < random.nextInt(60); i++) {
            set.add(random.nextInt(100));
        }
        var sorted = new IntArrayList(set);
        assertEquals(sorted, TaskIndexSet.parse(TaskIndexSet.format(sorted)));
    }
}
