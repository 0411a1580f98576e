package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dunespindle.protocol.MalformedMessageException;

/** The stored main values and chunks of job records that do not fit into one value. */
final class ChunkedJobRecords {
    private final Map<String, JsonNode> mains = new HashMap<>();
    private final Map<String, Map<Integer, String>> chunksByJob = new HashMap<>();
    /** Jobs whose record must be reassembled, sorted for a deterministic order. */
    private Set<String> changed = new TreeSet<>();

    /** Replaces a job's main value. A value that is removed or not chunked drops the job from this collection. */
    void putMain(String id, Optional<JsonNode> value) {
        Optional<JsonNode> main = value.filter(ChunkedJobRecordCodec::isChunked);
        if (main.isPresent()) {
            mains.put(id, main.get());
            changed.add(id);
        } else {
            mains.remove(id);
            changed.remove(id);
        }
    }

    /** Replaces the chunk under a key; an empty value removes it. */
    void putChunk(String key, Optional<JsonNode> value) throws MalformedMessageException {
        int slash = key.lastIndexOf('/');
        String id = key.substring(Math.min(slash, Keys.CHUNK.length()), slash);
        int index = chunkIndex(key.substring(slash + 1));
        Map<Integer, String> chunks = chunksByJob.computeIfAbsent(id, job -> new HashMap<>());
        if (value.isPresent()) {
            chunks.put(index, ChunkedJobRecordCodec.chunkText(value.get()));
        } else {
            chunks.remove(index);
        }
        if (chunks.isEmpty()) {
            chunksByJob.remove(id);
        }
        if (mains.containsKey(id)) {
            changed.add(id);
        }
    }

    private static int chunkIndex(String text) throws MalformedMessageException {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("chunk index is not a number: " + text);
        }
    }

    /** Returns the jobs whose chunked record changed since the last call. */
    Set<String> drainChanged() {
        Set<String> drained = changed;
        changed = new TreeSet<>();
        return drained;
    }

    /** The texts of a job's chunks by index, up to the first missing one. */
    List<String> chunks(String id) {
        Map<Integer, String> chunksByIndex = chunksByJob.getOrDefault(id, Map.of());
        var chunks = new ArrayList<String>();
        for (int i = 0; chunksByIndex.containsKey(i); i++) {
            chunks.add(chunksByIndex.get(i));
        }
        return chunks;
    }

    /** Assembles a job's record from its main value and chunks. */
    JobRecord assemble(String id) throws MalformedMessageException {
        JsonNode main = mains.get(id);
        List<String> chunks = chunks(id);
        int expected = ChunkedJobRecordCodec.chunkCount(main);
        if (chunks.size() != expected) {
            throw new MalformedMessageException("expected " + expected + " chunks, found " + chunks.size());
        }
        return ChunkedJobRecordCodec.parse(id, main, chunks);
    }
}
