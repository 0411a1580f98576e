package org.dunespindle.storage;

/**
 * A Bloom filter of the ids of all jobs that the replica has seen in the state store. An id that it does not contain was never stored, up
 * to the revision that the replica has applied; one that it contains may have been. Its size is fixed.
 */
final class KnownJobIds {
    /** 2 MiB: about 0.2% of unknown ids are taken for known ones at a million jobs. */
    private static final int BITS = 1 << 24;

    private static final int HASHES = 4;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    private final long[] words = new long[BITS / Long.SIZE];

    /** Adds an id. */
    void add(String id) {
        long hash = hash(id);
        for (int i = 0; i < HASHES; i++) {
            int bit = bit(hash, i);
            words[bit / Long.SIZE] |= 1L << bit;
        }
    }

    /** Whether an id may have been added; false is certain. */
    boolean mightContain(String id) {
        long hash = hash(id);
        for (int i = 0; i < HASHES; i++) {
            int bit = bit(hash, i);
            if ((words[bit / Long.SIZE] & 1L << bit) == 0) {
                return false;
            }
        }
        return true;
    }

    /** The position of one of an id's bits, by double hashing with the halves of the hash. */
    private static int bit(long hash, int index) {
        int low = (int) hash;
        int high = (int) (hash >>> Integer.SIZE) | 1;
        return (low + index * high) & (BITS - 1);
    }

    /** The FNV-1a hash of the id's characters, mixed so that all bits depend on all characters. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_FACTOR;
        return hash ^ hash >>> MIX_SHIFT;
    }
}
