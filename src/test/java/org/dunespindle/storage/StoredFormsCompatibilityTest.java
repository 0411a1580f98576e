package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.sim.VirtualTime;
import org.junit.jupiter.api.Test;

/**
 * Pins the stored forms: every record is written as the text beside it, and that text is parsed as the record. Identifiers in the
 * sources may change, but the text must not, since running cells have stored it.
 */
class StoredFormsCompatibilityTest {
    private static final String ID = "wk-000412";
    private static final Instant ARRIVED = Instant.ofEpochMilli(1_700_000_000_123L);
    private static final String SUBMISSION = """
            {"id":"wk-000412","jobclass":"train","owner":"red","shape":"%s","rank":"urgent","pieces":9,
             "vcpus":2.0,"accelerators":1.0,"ramGb":16.5,"hulls":["gpu-8","gpu-4"],"dune":"east",
             "samePlace":true,"apart":false,"driftwood":true,"bundle":"image:7","imageGb":2.5,
             "guessS":300.0,"snapshotS":30.0,"flushS":2.0,"dueS":3600.0}""";

    private static Submission submission(JobKind kind) {
        return new Submission(
                ID,
                "train",
                "red",
                kind,
                Priority.URGENT,
                9,
                new Resources(2, 1, 16.5),
                Optional.of(List.of("gpu-8", "gpu-4")),
                Optional.of("east"),
                true,
                false,
                true,
                "image:7",
                2.5,
                Duration.ofMinutes(5),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Optional.of(Duration.ofHours(1)));
    }

    private static JobRecord open(JobKind kind, JobRecord.GangPhase phase, List<Allocation> allocations) {
        return new JobRecord(
                ID,
                Optional.of(submission(kind)),
                ARRIVED,
                JobRecord.Outcome.OPEN,
                21,
                7,
                List.of(0, 1, 2, 5),
                allocations,
                phase,
                17,
                1_700_000_000_456L,
                3,
                Optional.of(Instant.ofEpochMilli(1_700_000_009_000L)),
                Optional.empty());
    }

    private static JobRecord finished(JobRecord.Outcome outcome, int nextTaskIndex, Optional<DelegationLink> link) {
        return new JobRecord(
                ID,
                Optional.empty(),
                ARRIVED,
                outcome,
                0,
                nextTaskIndex,
                List.of(),
                List.of(),
                JobRecord.GangPhase.QUEUED,
                0,
                0,
                0,
                Optional.empty(),
                link);
    }

    private static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void assertStored(String text, JobRecord job) throws MalformedMessageException {
        assertEquals(json(text).toString(), job.toNode().toString());
        assertEquals(job, JobRecord.parse(ID, json(text)));
    }

    /** A replica that contains the given values by key. */
    private static StateReplica replicaOf(Map<String, String> stored) {
        var replica =
                new StateReplica(null, new VirtualTime(1).new SimulatedProcess(), Duration.ofSeconds(1), () -> {});
        var transaction = new Transaction();
        stored.forEach((key, text) -> transaction.write(key, json(text)));
        replica.applyCommitted(transaction, 5);
        return replica;
    }

    @Test
    void keys() {
        assertEquals("ds/", Keys.ROOT);
        assertEquals("ds/job/wk-000412", Keys.job(ID));
        assertEquals("ds/part/wk-000412/3", Keys.chunk(ID, 3));
        assertEquals("ds/page/i-002", Keys.machinePage("i-0023"));
        assertEquals("ds/team/red", Keys.team("red"));
        assertEquals("ds/member/n0", Keys.member("n0"));
        assertEquals("ds/incarnation/", Keys.INCARNATION);
        assertEquals("ds/leader", Keys.LEADER);
        assertEquals("ds/options", Keys.OPTIONS);
        assertEquals("ds/format", Keys.FORMAT);
        assertEquals("ds/federation", Keys.FEDERATION);
        assertEquals("ds/cell/b", Keys.cell("b"));
    }

    @Test
    void acceptedJobs() throws MalformedMessageException {
        for (JobKind kind : JobKind.values()) {
            String text = "{\"at\":1700000000123,\"end\":\"OPEN\",\"job\":" + SUBMISSION.formatted(kind.wireName())
                    + ",\"gen\":1,\"next\":0,\"mode\":\"IDLE\",\"try\":0,\"order\":1700000000123,\"fails\":0,"
                    + "\"again\":\"\",\"claims\":[]}";
            assertStored(text, JobRecord.accepted(submission(kind), ARRIVED));
        }
    }

    @Test
    void placedJobsInEveryGangPhase() throws MalformedMessageException {
        var allocations = List.of(
                new Allocation(3, "i-0023", 17, false),
                new Allocation(4, "i-0023", 17, false),
                new Allocation(6, "i-0031", 17, false),
                new Allocation(7, "i-0024", 18, true));
        var phases = Map.of(
                JobRecord.GangPhase.QUEUED, "IDLE",
                JobRecord.GangPhase.PLACEHOLDERS, "HOLD",
                JobRecord.GangPhase.RUNNING, "REAL",
                JobRecord.GangPhase.STOPPING, "STOP");
        assertEquals(Set.of(JobRecord.GangPhase.values()), phases.keySet());
        for (Map.Entry<JobRecord.GangPhase, String> phase : phases.entrySet()) {
            String text = "{\"at\":1700000000123,\"end\":\"OPEN\",\"job\":" + SUBMISSION.formatted("group")
                    + ",\"gen\":21,\"next\":7,\"mode\":\"" + phase.getValue()
                    + "\",\"try\":17,\"order\":1700000000456,\"fails\":3,\"wait\":1700000009000,"
                    + "\"again\":\"0-2,5\",\"claims\":[[17,false,{\"i-002\":{\"3\":\"3-4\"},\"i-003\":{\"1\":\"6\"}}],"
                    + "[18,true,{\"i-002\":{\"4\":\"7\"}}]]}";
            assertStored(text, open(JobKind.GANG, phase.getKey(), allocations));
        }
    }

    @Test
    void finishedJobsWithEveryOutcome() throws MalformedMessageException {
        var outcomes = Map.of(
                JobRecord.Outcome.OPEN,
                "OPEN",
                JobRecord.Outcome.DONE,
                "DONE",
                JobRecord.Outcome.CANCELLED,
                "CANCELLED");
        assertEquals(Set.of(JobRecord.Outcome.values()), outcomes.keySet());
        for (Map.Entry<JobRecord.Outcome, String> outcome : outcomes.entrySet()) {
            String text = "{\"at\":1700000000123,\"end\":\"" + outcome.getValue() + "\",\"next\":9}";
            assertStored(text, finished(outcome.getKey(), 9, Optional.empty()));
        }
    }

    @Test
    void cancelledJobsWithAllocations() throws MalformedMessageException {
        JobRecord running =
                open(JobKind.ARRAY, JobRecord.GangPhase.QUEUED, List.of(new Allocation(6, "i-0023", 17, false)));
        String text = "{\"at\":1700000000123,\"end\":\"CANCELLED\",\"job\":" + SUBMISSION.formatted("array")
                + ",\"gen\":21,\"next\":7,\"mode\":\"IDLE\",\"try\":17,\"order\":1700000000456,\"fails\":3,"
                + "\"wait\":1700000009000,\"again\":\"\",\"claims\":[[17,false,{\"i-002\":{\"3\":\"6\"}}]]}";
        assertStored(text, running.cancelled());
    }

    @Test
    void delegationsInEveryPhase() throws MalformedMessageException {
        var phases = Map.of(
                OutboundDelegation.Phase.HOME, "HOME",
                OutboundDelegation.Phase.OFFERED, "OFFERED",
                OutboundDelegation.Phase.ACCEPTED, "ACCEPTED",
                OutboundDelegation.Phase.RECALLED, "RECALLED");
        assertEquals(Set.of(OutboundDelegation.Phase.values()), phases.keySet());
        for (Map.Entry<OutboundDelegation.Phase, String> phase : phases.entrySet()) {
            String head = "{\"at\":1700000000123,\"end\":\"OPEN\",\"job\":" + SUBMISSION.formatted("array")
                    + ",\"gen\":1,\"next\":0,\"mode\":\"IDLE\",\"try\":0,\"order\":1700000000123,\"fails\":0,"
                    + "\"away\":[\"b\",12,\"" + phase.getValue() + "\",2";
            JobRecord job = JobRecord.accepted(submission(JobKind.ARRAY), ARRIVED);
            assertStored(
                    head + "],\"again\":\"\",\"claims\":[]}",
                    job.withDelegationLink(new OutboundDelegation("b", 12, phase.getKey(), 2, Optional.empty())));
            var notBefore = Optional.of(Instant.ofEpochMilli(1_700_000_030_000L));
            assertStored(
                    head + ",1700000030000],\"again\":\"\",\"claims\":[]}",
                    job.withDelegationLink(new OutboundDelegation("b", 12, phase.getKey(), 2, notBefore)));
        }
    }

    @Test
    void inboundJobs() throws MalformedMessageException {
        assertStored(
                "{\"at\":1700000000123,\"end\":\"OPEN\",\"job\":" + SUBMISSION.formatted("daemon")
                        + ",\"gen\":1,\"next\":0,\"mode\":\"IDLE\",\"try\":0,\"order\":1700000000123,\"fails\":0,"
                        + "\"visit\":[\"a\",12,false],\"again\":\"\",\"claims\":[]}",
                JobRecord.acceptedFromOrigin(submission(JobKind.SERVICE), ARRIVED, InboundDelegation.of("a", 12)));
        assertStored(
                "{\"at\":1700000000123,\"end\":\"DONE\",\"visit\":[\"a\",12,false],\"next\":9}",
                finished(JobRecord.Outcome.DONE, 9, Optional.of(InboundDelegation.of("a", 12))));
    }

    @Test
    void tombstonesOfDelegationsWhoseJobNeverArrived() throws MalformedMessageException {
        assertStored(
                "{\"at\":1700000000123,\"end\":\"CANCELLED\",\"visit\":[\"a\",12,false],\"next\":0}",
                JobRecord.tombstone(ID, ARRIVED, InboundDelegation.of("a", 12), true));
        assertStored(
                "{\"at\":1700000000123,\"end\":\"CANCELLED\",\"visit\":[\"a\",12,true],\"next\":0}",
                JobRecord.tombstone(ID, ARRIVED, InboundDelegation.of("a", 12), false));
    }

    /** Pins the MessagePack encoding of stored values by one example. */
    @Test
    void bytesOfAValue() {
        assertEquals(
                "83a26174cf0000018bcfe5687ba3656e64a4444f4e45a46e65787409",
                HexFormat.of()
                        .formatHex(MessagePackCodec.write(finished(JobRecord.Outcome.DONE, 9, Optional.empty())
                                .toNode())));
    }

    /** Asserts the chunked form of a record, and that a replica assembles the record from these values. */
    private static void assertChunked(JobRecord record, String main, String... chunks) {
        ChunkedJobRecordCodec.ChunkedRecord chunked = ChunkedJobRecordCodec.split(record, 300);
        var stored = new HashMap<String, String>(Map.of("ds/job/wk-000412", main));
        assertEquals(json(main).toString(), chunked.main().toString());
        assertEquals(chunks.length, chunked.chunks().size());
        for (int i = 0; i < chunks.length; i++) {
            assertEquals(
                    json(chunks[i]).toString(),
                    ChunkedJobRecordCodec.chunkNode(chunked.chunks().get(i)).toString());
            stored.put("ds/part/wk-000412/" + i, chunks[i]);
        }
        assertEquals(Optional.of(record), replicaOf(stored).retainedJob(ID));
    }

    @Test
    void chunkedRecords() {
        var allocations = List.of(
                new Allocation(3, "i-0023", 17, false),
                new Allocation(4, "i-0023", 17, false),
                new Allocation(6, "i-0031", 17, false),
                new Allocation(7, "i-0024", 18, true));
        assertChunked(
                open(JobKind.GANG, JobRecord.GangPhase.STOPPING, allocations),
                "{\"at\":1700000000123,\"end\":\"OPEN\",\"gen\":21,\"next\":7,\"mode\":\"STOP\",\"try\":17,\"order\":1700000000"
                        + "456,\"fails\":3,\"wait\":1700000009000,\"length\":363,\"parts\":2,\"text\":\"{\\\"id\\\":\\\"wk-000412\\\",\\"
                        + "\"jobclass\\\":\\\"train\\\",\\\"owner\\\":\\\"red\\\",\\\"shape\\\":\\\"group\\\",\\\"rank\\\":\\\"urgent\\\""
                        + ",\\\"pieces\\\":9,\\\"vcpus\\\":2.0,\"}",
                "{\"text\":\"\\\"accelerators\\\":1.0,\\\"ramGb\\\":16.5,\\\"hulls\\\":[\\\"gpu-8\\\",\\\"gpu-4\\\"],\\\"dune\\"
                        + "\":\\\"east\\\",\\\"samePlace\\\":true,\\\"apart\\\":false,\\\"driftwood\\\":true,\\\"bundle\\\":\\\"image:7\\"
                        + "\",\\\"imageGb\\\":2.5,\\\"guessS\\\":300.0,\\\"snapshotS\\\":30.0,\\\"flushS\\\":2.0,\\\"dueS\\\":3600.0}\\n1"
                        + "7:i-002/3=3-4;i-003/1=6|18!:i-0\"}",
                "{\"text\":\"02/4=7\\n0-2,5\"}");
    }

    @Test
    void chunkedRecordsWithMachineIdsThatNeedQuotes() {
        JobRecord job = open(
                        JobKind.ARRAY, JobRecord.GangPhase.QUEUED, List.of(new Allocation(6, "rack:1/a", 17, false)))
                .withDelegationLink(
                        new OutboundDelegation("b", 12, OutboundDelegation.Phase.HOME, 2, Optional.empty()));
        assertChunked(
                job,
                "{\"at\":1700000000123,\"end\":\"OPEN\",\"gen\":21,\"next\":7,\"mode\":\"IDLE\",\"try\":17,\"order\":1700000000"
                        + "456,\"fails\":3,\"wait\":1700000009000,\"away\":[\"b\",12,\"HOME\",2],\"length\":359,\"parts\":2,\"text\":\"{"
                        + "\\\"id\\\":\\\"wk-000412\\\",\\\"jobclass\\\":\\\"train\\\",\\\"owner\\\":\\\"red\\\",\\\"shape\\\":\\\"array"
                        + "\\\",\\\"rank\\\":\\\"urgent\\\",\\\"p\"}",
                "{\"text\":\"ieces\\\":9,\\\"vcpus\\\":2.0,\\\"accelerators\\\":1.0,\\\"ramGb\\\":16.5,\\\"hulls\\\":[\\\"gpu-8"
                        + "\\\",\\\"gpu-4\\\"],\\\"dune\\\":\\\"east\\\",\\\"samePlace\\\":true,\\\"apart\\\":false,\\\"driftwood\\\":tru"
                        + "e,\\\"bundle\\\":\\\"image:7\\\",\\\"imageGb\\\":2.5,\\\"guessS\\\":300.0,\\\"snapshotS\\\":30.0,\\\"flushS\\"
                        + "\":2.0,\\\"dueS\\\":3600.0}\\n[[17,fal\"}",
                "{\"text\":\"se,{\\\"rack:1/\\\":{\\\"a\\\":\\\"6\\\"}}]]\\n0-2,5\"}");
    }

    @Test
    void machinesThatShareAPage() {
        var ordinary = new MachineRecord(
                "i-0023",
                "10.0.0.7:7000",
                "gpu-8",
                "east",
                false,
                "n0",
                4,
                11,
                Instant.ofEpochMilli(1_700_000_000_000L),
                Instant.ofEpochMilli(1_700_000_040_000L),
                false,
                "");
        var idle = new MachineRecord(
                "i-0024",
                "",
                "gpu-4",
                "west",
                true,
                "n1",
                5,
                12,
                ARRIVED,
                Instant.EPOCH,
                true,
                MachineRecord.DRAIN_REASON_IDLE);
        var drained = new MachineRecord(
                "i-0025",
                "",
                "gpu-4",
                "west",
                true,
                "n1",
                5,
                12,
                ARRIVED,
                Instant.EPOCH,
                true,
                MachineRecord.DRAIN_REASON_OPERATOR);
        String page = """
                {"i-0023":["10.0.0.7:7000","gpu-8","east",false,"n0",4,11,1700000000000,1700000040000,false,""],
                 "i-0024":["","gpu-4","west",true,"n1",5,12,1700000000123,0,true,"it is idle"],
                 "i-0025":["","gpu-4","west",true,"n1",5,12,1700000000123,0,true,"an operator drains it"]}""";
        StateReplica replica = replicaOf(Map.of("ds/page/i-002", page));
        assertEquals(Map.of("i-0023", ordinary, "i-0024", idle, "i-0025", drained), replica.machines());
        JsonNode written = replica.rewriteMachinePage("ds/page/i-002", Map.of())
                .changes()
                .get("ds/page/i-002")
                .value()
                .orElseThrow();
        assertEquals(json(page).toString(), written.toString());
    }

    @Test
    void formatVersions() {
        assertEquals(
                "{\"version\":1}",
                FormatVersion.record(FormatVersion.WHOLE_RECORDS).toString());
        assertEquals(
                "{\"version\":2}",
                FormatVersion.record(FormatVersion.CHUNKED_JOB_RECORDS).toString());
        assertEquals(
                "{\"version\":3}",
                FormatVersion.record(FormatVersion.DELEGATION_LINKS).toString());
        assertEquals(
                FormatVersion.DELEGATION_LINKS,
                replicaOf(Map.of("ds/format", "{\"version\":3}")).formatVersion());
        assertEquals(FormatVersion.WHOLE_RECORDS, replicaOf(Map.of()).formatVersion());
    }

    @Test
    void membersAreNamedByTheirKeys() {
        StateReplica replica = replicaOf(Map.of("ds/member/n1", "{\"inc\":3,\"version\":2}"));
        assertEquals(Set.of("n1"), replica.members().keySet());
    }
}
