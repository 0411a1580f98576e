package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Random;
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

/** The chunked form of job records, and compatibility with records stored by earlier versions. */
class ChunkedJobRecordCodecTest {
    private static final int MAX_WHOLE_VALUE_BYTES = 8192;
    private static final int MAX_VALUE_BYTES = 2048;
    private static final int MAX_CHANGES_PER_TRANSACTION = 5;

    private static Submission submission(Random random) {
        var types = new ArrayList<String>();
        for (int i = random.nextInt(30); i > 0; i--) {
            types.add("type-\u00e9\u4e2d\"" + "x".repeat(random.nextInt(60)) + i);
        }
        return SubmissionBuilder.submission("wk-000001")
                .jobClass("class \uD83D\uDE00 " + "c".repeat(random.nextInt(100)))
                .team("t")
                .kind(random.nextInt(3) == 0 ? JobKind.GANG : JobKind.ARRAY)
                .priority(Priority.LOW)
                .tasks(100_000)
                .types(random.nextBoolean() ? Optional.empty() : Optional.of(types))
                .estimate(Duration.ofSeconds(1))
                .build();
    }

    /** A record of up to the given size, the limit of earlier versions, after random placements, releases and stops on few or many machines. */
    private static JobRecord randomJob(int maxBytes, Random random) {
        JobRecord job = JobRecord.accepted(submission(random), Instant.ofEpochMilli(1_700_000_000_000L));
        JobRecord longestFitting = job;
        String prefix = random.nextInt(4) == 0 ? "machine:with=signs/" : "i-";
        for (int step = 0; step < 40; step++) {
            var machineIds = new LinkedHashMap<Integer, String>();
            int perMachine = 1 + random.nextInt(20);
            int i = 0;
            for (int task : job.unplaced(1 + random.nextInt(60))) {
                machineIds.put(task, prefix + "%06d".formatted(random.nextInt(3) + step + i++ / perMachine));
            }
            job = job.withPlaced(machineIds);
            var ended = new TreeMap<Integer, Boolean>();
            for (Allocation allocation : job.allocations()) {
                if (random.nextInt(4) == 0) {
                    ended.put(allocation.task(), random.nextBoolean());
                }
            }
            job = job.submission().isGang() ? job : job.withReleased(ended);
            if (!job.allocations().isEmpty() && random.nextInt(5) == 0) {
                job = job.withTaskStopping(job.allocations().get(0).task());
            }
            if (MessagePackCodec.jsonSize(job.toNode()) > maxBytes) {
                return longestFitting;
            }
            longestFitting = job;
        }
        return longestFitting;
    }

    private static JobRecord readBack(ChunkedJobRecordCodec.ChunkedRecord chunked) throws MalformedMessageException {
        return ChunkedJobRecordCodec.parse("wk-000001", chunked.main(), chunked.chunks());
    }

    @Property(seed = "91", tries = 200)
    void recordsThatFitOneWholeValueFitOneTransactionInChunks(@ForAll long seed) throws MalformedMessageException {
        JobRecord job = randomJob(MAX_WHOLE_VALUE_BYTES, new Random(seed));
        ChunkedJobRecordCodec.ChunkedRecord chunked = ChunkedJobRecordCodec.split(job, MAX_VALUE_BYTES);
        assertTrue(
                1 + chunked.chunks().size() <= MAX_CHANGES_PER_TRANSACTION,
                chunked.chunks().size() + " chunks");
        assertTrue(MessagePackCodec.jsonSize(chunked.main()) <= MAX_VALUE_BYTES);
        for (String chunk : chunked.chunks()) {
            assertTrue(MessagePackCodec.jsonSize(ChunkedJobRecordCodec.chunkNode(chunk)) <= MAX_VALUE_BYTES);
        }
        assertEquals(job.toNode().toString(), readBack(chunked).toNode().toString());
    }

    @Property(seed = "92", tries = 100)
    void cancellingAChunkedRecordNeedsNoMoreChunks(@ForAll long seed) {
        JobRecord job = randomJob(MAX_WHOLE_VALUE_BYTES, new Random(seed));
        if (job.allocations().isEmpty()) {
            return;
        }
        List<String> before = ChunkedJobRecordCodec.split(job, MAX_VALUE_BYTES).chunks();
        List<String> after =
                ChunkedJobRecordCodec.split(job.cancelled(), MAX_VALUE_BYTES).chunks();
        assertTrue(after.size() <= before.size());
        assertTrue(1 + Math.max(before.size(), after.size()) <= MAX_CHANGES_PER_TRANSACTION);
    }

    /** Chunks of different writes must be rejected, not assembled into an inconsistent record. */
    @Test
    void chunksThatDoNotBelongTogetherAreRejected() {
        JobRecord job = randomJob(MAX_WHOLE_VALUE_BYTES, new Random(3));
        ChunkedJobRecordCodec.ChunkedRecord chunked = ChunkedJobRecordCodec.split(job, MAX_VALUE_BYTES);
        var missingLast = chunked.chunks().subList(0, chunked.chunks().size() - 1);
        assertThrows(
                MalformedMessageException.class,
                () -> ChunkedJobRecordCodec.parse("wk-000001", chunked.main(), missingLast));
        var mixed = new ArrayList<>(chunked.chunks());
        mixed.set(0, "|" + mixed.get(0).substring(1) + ":");
        assertThrows(
                MalformedMessageException.class, () -> ChunkedJobRecordCodec.parse("wk-000001", chunked.main(), mixed));
    }

    /** Recorded values of each job kind and gang phase of the previous version are parsed and written back unchanged. */
    @Test
    void valuesOfThePreviousVersionAreWrittenUnchanged() throws IOException, MalformedMessageException {
        int jobs = 0;
        int pages = 0;
        for (String line : recordedValues()) {
            JsonNode row = new ObjectMapper().readTree(line);
            String key = row.path("key").asText();
            JsonNode value = row.path("v");
            if (key.startsWith(Keys.JOB)) {
                jobs++;
                JobRecord job = JobRecord.parse(key.substring(Keys.JOB.length()), value);
                assertEquals(value.toString(), job.toNode().toString());
            } else if (key.startsWith(Keys.MACHINE_PAGE)) {
                pages++;
                value.properties()
                        .forEach(machine -> assertEquals(
                                machine.getValue().toString(),
                                MachineRecord.parse(machine.getKey(), machine.getValue())
                                        .toRow()
                                        .toString()));
            }
        }
        assertTrue(jobs >= 20 && pages >= 4, jobs + " jobs, " + pages + " pages");
    }

    private static List<String> recordedValues() throws IOException {
        try (var in = ChunkedJobRecordCodecTest.class.getResourceAsStream("/production-records.jsonl")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }
}
