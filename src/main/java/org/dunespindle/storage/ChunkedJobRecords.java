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

/** The main values and parts of job records that do not fit into one value, as they are stored. */
final class ChunkedJobRecords {
    private final Map<String, JsonNode> mains = new HashMap<>();
    private final Map<String, Map<Integer, String>> parts = new HashMap<>();
    private Set<String> changed = new TreeSet<>();

    /** Takes a job's main value; one that is whole, or removed, has no parts. */
    void putMain(String id, Optional<JsonNode> main) {
        Optional<JsonNode> cut = main.filter(JobRecordCodec::isCut);
        if (cut.isPresent()) {
            mains.put(id, cut.get());
            changed.add(id);
        } else {
            mains.remove(id);
            changed.remove(id);
        }
    }

    /** Takes the value of a part, by its key. */
    void putPart(String key, Optional<JsonNode> value) throws MalformedMessageException {
        int slash = key.lastIndexOf('/');
        String id = key.substring(Math.min(slash, Keys.PART.length()), slash);
        int index;
        try {
            index = Integer.parseInt(key.substring(slash + 1));
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("it names no part");
        }
        Map<Integer, String> ofJob = parts.computeIfAbsent(id, k -> new HashMap<>());
        if (value.isPresent()) {
            ofJob.put(index, JobRecordCodec.partText(value.get()));
        } else {
            ofJob.remove(index);
        }
        if (ofJob.isEmpty()) {
            parts.remove(id);
        }
        if (mains.containsKey(id)) {
            changed.add(id);
        }
    }

    /** Jobs whose cut record changed since the last call. */
    Set<String> takeChanged() {
        Set<String> taken = changed;
        changed = new TreeSet<>();
        return taken;
    }

    /** The texts that a job's parts keep, in their order. */
    List<String> parts(String id) {
        Map<Integer, String> known = parts.getOrDefault(id, Map.of());
        var list = new ArrayList<String>();
        for (int i = 0; known.containsKey(i); i++) {
            list.add(known.get(i));
        }
        return list;
    }

    /** Puts a cut record together. */
    JobRecord assemble(String id) throws MalformedMessageException {
        JsonNode main = mains.get(id);
        List<String> texts = parts(id);
        if (texts.size() != JobRecordCodec.partCount(main)) {
            throw new MalformedMessageException(
                    "it has " + texts.size() + " parts in place of " + JobRecordCodec.partCount(main));
        }
        return JobRecordCodec.parse(id, main, texts);
    }

    void clear() {
        mains.clear();
        parts.clear();
        changed.clear();
    }
}
