package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.MessagePackCodec;

/** The maximum size of a page of machine records. */
class MachinePageTest {
    private static final int LOWERED_MAX_VALUE_BYTES = 2048;
    /** Machine ids end with a number, and ids that differ only in the last digit share a page. */
    private static final int MACHINES_PER_PAGE = 10;

    private static final int MAX_NAME_LENGTH = 20;
    private static final List<String> DRAIN_REASONS =
            List.of("", MachineRecord.DRAIN_REASON_IDLE, MachineRecord.DRAIN_REASON_OPERATOR, "it fails its tasks");

    private static String name(Random random) {
        return "n".repeat(MAX_NAME_LENGTH - random.nextInt(3));
    }

    /** With the longest address, names of 20 characters and any stored drain reason, a full page fits the lowered limit. */
    @Property(seed = "93", tries = 200)
    void aFullPageFitsTheLoweredValueSize(@ForAll long seed) {
        var random = new Random(seed);
        ObjectNode page = MessagePackCodec.map();
        String type = name(random);
        for (int i = 0; i < MACHINES_PER_PAGE; i++) {
            String id = "i-99999" + i;
            String reason = DRAIN_REASONS.get(random.nextInt(DRAIN_REASONS.size()));
            var machine = new MachineRecord(
                    id,
                    "255.255.255.255:65535",
                    type,
                    name(random),
                    false,
                    "controller-" + random.nextInt(3),
                    random.nextInt(1000),
                    random.nextInt(1_000_000),
                    Instant.ofEpochMilli(1_900_000_000_000L),
                    Instant.ofEpochMilli(1_900_000_000_000L),
                    !reason.isEmpty(),
                    reason);
            page.set(id, machine.toRow());
        }
        int size = MessagePackCodec.jsonSize(page);
        assertTrue(size <= LOWERED_MAX_VALUE_BYTES, size + " bytes");
    }
}
