package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntRBTreeSet;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;

/**
 * The stored forms of a job's record: whole in one value, or, where that is too long, its progress in the main value and
 * everything whose length varies as one text, cut into the main value and parts.
 */
final class JobRecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SUBMISSION = "job";
    private static final String AGAIN = "again";
    private static final String ALLOCATIONS = "claims";
    private static final String TEXT = "text";
    private static final String PARTS = "parts";
    private static final String LENGTH = "length";
    /** What a part takes beside its text: {@code {"text":""}}. */
    private static final int PART_FRAME = 16;
    /** Separates description, allocations and tasks to start again in the text of a cut record. JSON text holds none. */
    private static final String SECTION = "\n";

    private JobRecordCodec() {}

    /**
     * A record that was cut.
     *
     * @param main the main value, with the beginning of the text
     * @param parts the rest of the text, one for each part
     */
    record Cut(ObjectNode main, List<String> parts) {}

    /** The record as one value. */
    static ObjectNode whole(JobRecord job) {
        ObjectNode n = MessagePackCodec.map();
        n.put("at", job.arrived().toEpochMilli()).put("end", job.outcome().name());
        if (job.spec().isEmpty()) {
            job.delegationLink().ifPresent(tie -> DelegationLinkCodec.put(n, tie));
            return n.put("next", job.nextTaskIndex());
        }
        n.set(SUBMISSION, job.submission().toNode());
        putProgress(n, job);
        n.put(AGAIN, again(job));
        n.set(ALLOCATIONS, allocationsNode(job.allocations()));
        return n;
    }

    private static void putProgress(ObjectNode n, JobRecord job) {
        n.put("gen", job.attemptCounter())
                .put("next", job.nextTaskIndex())
                .put("mode", job.gangPhase().stored())
                .put("try", job.gangAttempt())
                .put("order", job.queuePosition())
                .put("fails", job.failures());
        job.notBefore().ifPresent(t -> n.put("wait", t.toEpochMilli()));
        job.delegationLink().ifPresent(tie -> DelegationLinkCodec.put(n, tie));
    }

    private static String again(JobRecord job) {
        return TaskIndexSet.format(new IntArrayList(new IntRBTreeSet(job.requeued())));
    }

    /** Cuts a record so that no value is longer than a limit. */
    static Cut cut(JobRecord job, int valueBytes) {
        ObjectNode main = MessagePackCodec.map();
        main.put("at", job.arrived().toEpochMilli()).put("end", job.outcome().name());
        putProgress(main, job);
        String text = text(job);
        main.put(LENGTH, text.length()).put(PARTS, Integer.MAX_VALUE).put(TEXT, "");
        int first = fitting(text, 0, valueBytes - MessagePackCodec.countedSize(main));
        main.put(TEXT, text.substring(0, first));
        var parts = new ArrayList<String>();
        for (int from = first; from < text.length(); ) {
            int to = fitting(text, from, valueBytes - PART_FRAME);
            parts.add(text.substring(from, to));
            from = to;
        }
        return new Cut(main.put(PARTS, parts.size()), parts);
    }

    private static String text(JobRecord job) {
        // The description never changes, and a cancellation only drops what is to start again: what changes comes last.
        return job.submission().toNode() + SECTION + allocationsText(job.allocations()) + SECTION + again(job);
    }

    /** Up to where a text, from some place on, takes no more than so many bytes as a JSON string. */
    private static int fitting(String text, int from, int bytes) {
        int left = bytes;
        int at = from;
        while (at < text.length()) {
            int length = Character.isHighSurrogate(text.charAt(at)) && at + 1 < text.length() ? 2 : 1;
            left -= escapedBytes(text.charAt(at), length);
            if (left < 0) {
                break;
            }
            at += length;
        }
        return at;
    }

    private static int escapedBytes(char c, int length) {
        if (length == 2) {
            return 4; // one character of two units, in UTF-8
        }
        if (c == '"' || c == '\\') {
            return 2;
        }
        if (c < ' ') {
            return 6;
        }
        return c < 0x80 ? 1 : c < 0x800 ? 2 : 3;
    }

    /** The value of a part that keeps some of a cut record's text. */
    static ObjectNode part(String text) {
        return MessagePackCodec.map().put(TEXT, text);
    }

    /** What a part keeps of a cut record's text. */
    static String partText(JsonNode part) {
        return part.path(TEXT).asText();
    }

    /** Of how many parts a main value is the beginning; 0 for a whole record. */
    static int partCount(JsonNode main) {
        return main.path(PARTS).asInt(0);
    }

    /** Whether a main value is that of a cut record. */
    static boolean isCut(JsonNode main) {
        return main.has(PARTS);
    }

    /** Reads a record that is one value. */
    static JobRecord parse(String id, JsonNode n) throws MalformedMessageException {
        if (!n.has(SUBMISSION)) {
            return finished(id, n);
        }
        var allocations = new ArrayList<Allocation>();
        n.path(ALLOCATIONS).forEach(g -> readAllocations(g, allocations));
        return open(id, n, Submission.parse(n.get(SUBMISSION)), n.path(AGAIN).asText(""), allocations);
    }

    /** Reads a record that was cut; parts that do not belong together are not understood. */
    static JobRecord parse(String id, JsonNode main, List<String> parts) throws MalformedMessageException {
        String text = main.path(TEXT).asText() + String.join("", parts);
        String[] sections = text.split(SECTION, -1);
        if (text.length() != main.path(LENGTH).asInt() || sections.length != 3) {
            throw new MalformedMessageException("its parts do not belong together");
        }
        try {
            Submission spec = Submission.parse(JSON.readTree(sections[0]));
            return open(id, main, spec, sections[2], readAllocations(sections[1]));
        } catch (IOException | NumberFormatException e) {
            throw new MalformedMessageException("its text cannot be read");
        }
    }

    private static JobRecord finished(String id, JsonNode n) throws MalformedMessageException {
        return new JobRecord(
                id,
                Optional.empty(),
                arrived(n),
                end(n),
                0,
                n.path("next").intValue(),
                List.of(),
                List.of(),
                JobRecord.GangPhase.QUEUED,
                0,
                0,
                0,
                Optional.empty(),
                DelegationLinkCodec.read(n));
    }

    private static JobRecord open(String id, JsonNode n, Submission spec, String again, List<Allocation> allocations)
            throws MalformedMessageException {
        Optional<Instant> wait =
                n.has("wait") ? Optional.of(Instant.ofEpochMilli(n.get("wait").longValue())) : Optional.empty();
        return new JobRecord(
                id,
                Optional.of(spec),
                arrived(n),
                end(n),
                n.path("gen").longValue(),
                n.path("next").intValue(),
                List.copyOf(TaskIndexSet.parse(again)),
                List.copyOf(allocations),
                JobRecord.GangPhase.parse(n.path("mode").asText("IDLE")),
                n.path("try").longValue(),
                n.path("order").longValue(),
                n.path("fails").intValue(),
                wait,
                DelegationLinkCodec.read(n));
    }

    private static Instant arrived(JsonNode n) {
        return Instant.ofEpochMilli(n.path("at").longValue());
    }

    private static JobRecord.Outcome end(JsonNode n) {
        return JobRecord.Outcome.valueOf(n.path("end").asText("OPEN"));
    }

    /** Allocations that were booked together. */
    private record Booked(long base, boolean stopping) {}

    /** Allocations by booking, then by machine: a gang as large as its team's limit still has to fit one value. */
    private static Map<Booked, Map<String, IntRBTreeSet>> grouped(List<Allocation> allocations) {
        var groups = new LinkedHashMap<Booked, Map<String, IntRBTreeSet>>();
        for (Allocation allocation : allocations) {
            groups.computeIfAbsent(new Booked(allocation.attemptBase(), allocation.stopping()), g -> new TreeMap<>())
                    .computeIfAbsent(allocation.machineId(), h -> new IntRBTreeSet())
                    .add(allocation.task());
        }
        return groups;
    }

    private static ArrayNode allocationsNode(List<Allocation> allocations) {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        grouped(allocations).forEach((g, hosts) -> {
            ObjectNode pages = list.addArray().add(g.base).add(g.stopping).addObject();
            hosts.forEach((host, tasks) -> {
                String page = Keys.machinePageName(host);
                ObjectNode rows = pages.get(page) instanceof ObjectNode o ? o : pages.putObject(page);
                rows.put(host.substring(page.length()), TaskIndexSet.format(new IntArrayList(tasks)));
            });
        });
        return list;
    }

    private static void readAllocations(JsonNode group, List<Allocation> into) {
        for (Map.Entry<String, JsonNode> page : group.path(2).properties()) {
            for (Map.Entry<String, JsonNode> row : page.getValue().properties()) {
                for (int task : TaskIndexSet.parse(row.getValue().textValue())) {
                    into.add(new Allocation(
                            task,
                            page.getKey() + row.getKey(),
                            group.get(0).longValue(),
                            group.get(1).booleanValue()));
                }
            }
        }
    }

    /**
     * The allocations as text without JSON's quotes: {@code 17:i-0023/1=0-3/2=5;i-0024/0=6|18!:...}, by booking ({@code !}
     * where they are being stopped), page and machine. Names that hold one of these signs leave the JSON form.
     */
    private static String allocationsText(List<Allocation> allocations) {
        for (Allocation allocation : allocations) {
            if (!plain(allocation.machineId())) {
                return allocationsNode(allocations).toString();
            }
        }
        var text = new StringBuilder();
        grouped(allocations).forEach((group, hosts) -> {
            text.append(text.isEmpty() ? "" : "|").append(group.base).append(group.stopping ? "!:" : ":");
            appendHosts(text, hosts);
        });
        return text.toString();
    }

    private static void appendHosts(StringBuilder text, Map<String, IntRBTreeSet> hosts) {
        String before = null;
        for (Map.Entry<String, IntRBTreeSet> entry : hosts.entrySet()) {
            String page = Keys.machinePageName(entry.getKey());
            if (!page.equals(before)) {
                text.append(before == null ? "" : ";").append(page);
                before = page;
            }
            text.append('/')
                    .append(entry.getKey(), page.length(), entry.getKey().length())
                    .append('=')
                    .append(TaskIndexSet.format(new IntArrayList(entry.getValue())));
        }
    }

    private static boolean plain(String host) {
        for (int i = 0; i < host.length(); i++) {
            char c = host.charAt(i);
            boolean letterOrDigit = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!letterOrDigit && c != '-' && c != '_' && c != '.') {
                return false;
            }
        }
        return !host.isEmpty();
    }

    private static List<Allocation> readAllocations(String text) throws IOException, MalformedMessageException {
        var list = new ArrayList<Allocation>();
        if (text.startsWith("[")) {
            JSON.readTree(text).forEach(group -> readAllocations(group, list));
            return list;
        }
        if (text.isEmpty()) {
            return list;
        }
        for (String group : text.split("\\|")) {
            int colon = group.indexOf(':');
            if (colon < 1) {
                throw new MalformedMessageException("its allocations cannot be read");
            }
            boolean stopping = group.charAt(colon - 1) == '!';
            long base = Long.parseLong(group.substring(0, stopping ? colon - 1 : colon));
            for (String page : group.substring(colon + 1).split(";")) {
                readPage(page.split("/"), base, stopping, list);
            }
        }
        return list;
    }

    private static void readPage(String[] page, long base, boolean stopping, List<Allocation> into)
            throws MalformedMessageException {
        for (int i = 1; i < page.length; i++) {
            int equals = page[i].indexOf('=');
            if (equals < 0) {
                throw new MalformedMessageException("its allocations cannot be read");
            }
            String host = page[0] + page[i].substring(0, equals);
            for (int task : TaskIndexSet.parse(page[i].substring(equals + 1))) {
                into.add(new Allocation(task, host, base, stopping));
            }
        }
    }
}
