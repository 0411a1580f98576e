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
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.junit.jupiter.api.Test;

/** Ties of jobs to other cells, as they are stored, and what they keep from being placed. */
class CellTieTest {
    private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_123L);

    private static JobRecord job(int tasks) {
        return JobRecord.accepted(
                new Submission(
                        "wk-000001",
                        "class",
                        "red",
                        JobKind.ARRAY,
                        Priority.LOW,
                        tasks,
                        new Resources(1, 1, 1),
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        false,
                        false,
                        "image",
                        1,
                        Duration.ofSeconds(1),
                        Duration.ZERO,
                        Duration.ZERO,
                        Optional.empty()),
                NOW);
    }

    private static DelegationLink tie(Random random) {
        if (random.nextBoolean()) {
            return new InboundDelegation("cell-" + random.nextInt(9), random.nextLong() >>> 1, random.nextBoolean());
        }
        OutboundDelegation.Phase phase = OutboundDelegation.Phase.values()[random.nextInt(4)];
        Optional<Instant> again =
                random.nextBoolean() ? Optional.empty() : Optional.of(Instant.ofEpochMilli(random.nextLong() >>> 20));
        return new OutboundDelegation("b", random.nextLong() >>> 1, phase, random.nextInt(20), again);
    }

    @Property(seed = "51", tries = 300)
    void tiesSurviveInWholeAndInCutRecords(@ForAll long seed) throws MalformedMessageException {
        var random = new Random(seed);
        JobRecord tied = job(1 + random.nextInt(50)).withDelegationLink(tie(random));
        assertEquals(tied, JobRecord.parse(tied.id(), tied.toNode()));
        ChunkedJobRecordCodec.ChunkedRecord chunked = ChunkedJobRecordCodec.split(tied, 500);
        assertEquals(tied, ChunkedJobRecordCodec.parse(tied.id(), chunked.main(), chunked.chunks()));
    }

    @Test
    void recordsWithoutATieAreStoredAsBefore() throws Exception {
        JsonNode stored = job(3).toNode();
        assertFalse(stored.has("away") || stored.has("visit"));
        JsonNode before = new ObjectMapper()
                .readTree("{\"at\":1700000000123,\"end\":\"DONE\",\"next\":3}"); // as the version before stored it
        assertEquals(Optional.empty(), JobRecord.parse("wk-000001", before).delegationLink());
        assertEquals(
                before.toString(), JobRecord.parse("wk-000001", before).toNode().toString());
    }

    @Test
    void unreadableTiesAreComplainedAbout() throws Exception {
        for (String bad : new String[] {
            "{\"at\":1,\"end\":\"DONE\",\"visit\":[\"a\",\"x\",true]}",
            "{\"at\":1,\"end\":\"DONE\",\"away\":[\"a\",4,\"SOMEWHERE\",1]}",
            "{\"at\":1,\"end\":\"DONE\",\"away\":7}"
        }) {
            JsonNode node = new ObjectMapper().readTree(bad);
            assertThrows(MalformedMessageException.class, () -> JobRecord.parse("wk-000001", node), bad);
        }
    }

    @Test
    void nothingOfAJobThatIsAwayIsPlaced() {
        OutboundDelegation offered = OutboundDelegation.offer(Optional.empty(), "b", 1);
        for (OutboundDelegation delegation :
                new OutboundDelegation[] {offered, offered.accepted(), offered.recalled()}) {
            JobRecord away = job(3).withDelegationLink(delegation);
            assertEquals(0, away.unplacedCount());
            assertTrue(away.unplaced(9).isEmpty());
        }
        JobRecord home = job(3).withDelegationLink(offered.returned(NOW));
        assertEquals(3, home.unplacedCount());
        assertEquals(3, home.unplaced(9).size());
    }

    @Test
    void endsForgetTheDelegationAndKeepTheVisit() {
        JobRecord away = job(3).withDelegationLink(OutboundDelegation.offer(Optional.empty(), "b", 1));
        assertEquals(Optional.empty(), away.doneElsewhere().delegationLink());
        assertEquals(3, away.doneElsewhere().doneCount());
        assertEquals(Optional.empty(), away.cancelled().delegationLink());
        InboundDelegation visit = InboundDelegation.of("a", 7);
        JobRecord visitor = JobRecord.acceptedFromOrigin(job(1).submission(), NOW, visit);
        JobRecord done = visitor.withPlaced(Map.of(0, "i-1")).withReleased(0, true);
        assertEquals(JobRecord.Outcome.DONE, done.outcome());
        assertEquals(Optional.of(visit), done.inboundDelegation());
        assertEquals(Optional.of(visit), visitor.cancelled().inboundDelegation());
        assertTrue(visitor.withdrawn().inboundDelegation().orElseThrow().withdrawn());
        assertFalse(visitor.withPlaced(Map.of(0, "i-1")).withReleased(0, false).neverPlaced());
    }
}
