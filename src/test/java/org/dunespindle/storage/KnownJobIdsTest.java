package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The filter never denies an id that was added: an accepted job would be answered with 404. */
class KnownJobIdsTest {
    private static final int JOBS = 1_000_000;
    private static final double MAX_FALSE_POSITIVES = 0.005;

    @Property(tries = 50)
    void containsEveryAddedId(@ForAll @Size(max = 300) List<String> ids) {
        var known = new KnownJobIds();
        ids.forEach(known::add);
        ids.forEach(id -> assertTrue(known.mightContain(id), id));
    }

    @Test
    void fewUnknownIdsAreTakenForKnownOnesAmongAMillionJobs() {
        var known = new KnownJobIds();
        for (int i = 0; i < JOBS; i++) {
            known.add("wk-" + i);
        }
        int taken = 0;
        int unknown = 100_000;
        for (int i = 0; i < unknown; i++) {
            taken += known.mightContain("wk-" + (JOBS + i)) ? 1 : 0;
        }
        assertTrue(taken < MAX_FALSE_POSITIVES * unknown, taken + " of " + unknown);
        for (int i = 0; i < JOBS; i++) {
            if (!known.mightContain("wk-" + i)) {
                assertEquals("known", "wk-" + i);
            }
        }
    }
}
