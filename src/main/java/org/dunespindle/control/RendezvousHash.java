package org.dunespindle.control;

import java.util.Optional;
import java.util.Set;

/**
 * Rendezvous hashing (highest random weight): every node computes the same choice from the set of nodes alone, and when a node joins
 * or leaves, only the keys that it gains or loses are reassigned.
 */
final class RendezvousHash {
    private static final int GOLDEN_RATIO_MULTIPLIER = 0x9E3779B9;
    private static final int FINALIZER_MULTIPLIER = 0x85EBCA6B;

    private RendezvousHash() {}

    /** The node with the greatest weight for a key; of equal weights the first in the set's iteration order. */
    static Optional<String> choose(Set<String> nodes, String key) {
        String best = null;
        int bestWeight = 0;
        for (String node : nodes) {
            int weight = weight(node, key);
            if (best == null || weight > bestWeight) {
                best = node;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int weight(String node, String key) {
        int mixed = (node + '|' + key).hashCode() * GOLDEN_RATIO_MULTIPLIER;
        mixed ^= mixed >>> 15;
        mixed *= FINALIZER_MULTIPLIER;
        return mixed ^ (mixed >>> 13);
    }
}
