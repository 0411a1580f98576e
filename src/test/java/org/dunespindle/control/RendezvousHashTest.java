package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Controllers of all program versions must make the same choice, so some choices are pinned. */
class RendezvousHashTest {
    private static final Set<String> NODES = new TreeSet<>(List.of("n0", "n1", "n2"));

    private static void assertChosen(String node, String key) {
        assertEquals(Optional.of(node), RendezvousHash.choose(NODES, key), key);
    }

    @Test
    void choicesDoNotChangeBetweenVersions() {
        assertChosen("n2", "h-0001");
        assertChosen("n2", "h-0002");
        assertChosen("n1", "h-0003");
        assertChosen("n1", "wk-000001");
        assertChosen("n2", "wk-000002");
        assertChosen("n0", "wk-000003");
    }

    @Test
    void onlyTheKeysOfALeavingNodeAreReassigned() {
        Set<String> remaining = new TreeSet<>(List.of("n0", "n2"));
        IntStream.range(0, 1000).mapToObj(i -> "h-" + i).forEach(key -> {
            String before = RendezvousHash.choose(NODES, key).orElseThrow();
            if (remaining.contains(before)) {
                assertEquals(Optional.of(before), RendezvousHash.choose(remaining, key), key);
            }
        });
    }

    @Test
    void withoutNodesThereIsNoChoice() {
        assertEquals(Optional.empty(), RendezvousHash.choose(Set.of(), "h-0001"));
    }
}
