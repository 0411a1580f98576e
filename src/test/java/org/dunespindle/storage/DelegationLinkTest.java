package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;

/** The stored form of delegation links, and their effect on placement. */
class DelegationLinkTest {
    private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_123L);

    private static JobRecord job(int tasks) {
        return JobRecord.accepted(
                SubmissionBuilder.submission("wk-000001")
                        .priority(Priority.LOW)
                        .tasks(tasks)
                        .estimate(Duration.ofSeconds(1))
                        .build(),
                NOW);
    }

    private static DelegationLink randomLink(Random random) {
        if (random.nextBoolean()) {
            return new InboundDelegation("cell-" + random.nextInt(9), random.nextLong() >>> 1, random.nextBoolean());
        }
        OutboundDelegation.Phase phase = OutboundDelegation.Phase.values()[random.nextInt(4)];
        Optional<Instant> notBefore =
                random.nextBoolean() ? Optional.empty() : Optional.of(Instant.ofEpochMilli(random.nextLong() >>> 20));
        return new OutboundDelegation("b", random.nextLong() >>> 1, phase, random.nextInt(20), notBefore);
    }

    @Property(seed = "51", tries = 300)
    void linksRoundTripInWholeAndInChunkedRecords(@ForAll long seed) throws MalformedMessageException {
        var random = new Random(seed);
        JobRecord linked = job(1 + random.nextInt(50)).withDelegationLink(randomLink(random));
        assertEquals(linked, JobRecord.parse(linked.id(), linked.toNode()));
        ChunkedJobRecordCodec.ChunkedRecord chunked = ChunkedJobRecordCodec.split(linked, 500);
        assertEquals(linked, ChunkedJobRecordCodec.parse(linked.id(), chunked.main(), chunked.chunks()));
    }

    @Test
    void recordsWithoutALinkAreStoredAsBefore() throws Exception {
        JsonNode stored = job(3).toNode();
        assertFalse(stored.has("away") || stored.has("visit"));
        JsonNode before = new ObjectMapper()
                .readTree("{\"at\":1700000000123,\"end\":\"DONE\",\"next\":3}"); // as stored by the previous version
        assertEquals(Optional.empty(), JobRecord.parse("wk-000001", before).delegationLink());
        assertEquals(
                before.toString(), JobRecord.parse("wk-000001", before).toNode().toString());
    }

    @Test
    void malformedLinksAreRejected() throws Exception {
        for (String malformed : new String[] {
            "{\"at\":1,\"end\":\"DONE\",\"visit\":[\"a\",\"x\",true]}",
            "{\"at\":1,\"end\":\"DONE\",\"away\":[\"a\",4,\"SOMEWHERE\",1]}",
            "{\"at\":1,\"end\":\"DONE\",\"away\":7}"
        }) {
            JsonNode node = new ObjectMapper().readTree(malformed);
            assertThrows(MalformedMessageException.class, () -> JobRecord.parse("wk-000001", node), malformed);
        }
    }

    @Test
    void noTaskOfADelegatedJobIsUnplaced() {
        OutboundDelegation offered = OutboundDelegation.offer(Optional.empty(), "b", 1);
        for (OutboundDelegation delegation :
                new OutboundDelegation[] {offered, offered.accepted(), offered.recalled()}) {
            JobRecord delegated = job(3).withDelegationLink(delegation);
            assertEquals(0, delegated.unplacedCount());
            assertTrue(delegated.unplaced(9).isEmpty());
        }
        JobRecord returned = job(3).withDelegationLink(offered.returned(NOW));
        assertEquals(3, returned.unplacedCount());
        assertEquals(3, returned.unplaced(9).size());
    }

    @Test
    void finishedJobsDropOutboundAndKeepInboundDelegations() {
        JobRecord delegated = job(3).withDelegationLink(OutboundDelegation.offer(Optional.empty(), "b", 1));
        assertEquals(Optional.empty(), delegated.completedRemotely().delegationLink());
        assertEquals(3, delegated.completedRemotely().doneCount());
        assertEquals(Optional.empty(), delegated.cancelled().delegationLink());
        InboundDelegation link = InboundDelegation.of("a", 7);
        JobRecord inboundJob = JobRecord.acceptedFromOrigin(job(1).submission(), NOW, link);
        JobRecord done = inboundJob.withPlaced(Map.of(0, "i-1")).withReleased(0, true);
        assertEquals(JobRecord.Outcome.DONE, done.outcome());
        assertEquals(Optional.of(link), done.inboundDelegation());
        assertEquals(Optional.of(link), inboundJob.cancelled().inboundDelegation());
        assertTrue(inboundJob.withdrawn().inboundDelegation().orElseThrow().withdrawn());
        assertFalse(
                inboundJob.withPlaced(Map.of(0, "i-1")).withReleased(0, false).neverPlaced());
    }
}
