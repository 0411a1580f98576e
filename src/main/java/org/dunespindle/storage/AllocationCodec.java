package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntRBTreeSet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dunespindle.protocol.MalformedMessageException;

/**
 * The two stored forms of a job's allocations. Both group them by attempt base and stopping state, then by page and machine,
 * with ranges of task indices, so that a gang as large as its team's quota still fits into one value.
 *
 * <p>JSON, in a record that is one value: {@code [[17,false,{"i-002":{"3":"1-3","4":"6"}}]]}. Text, in a chunked record,
 * where JSON's quotes would have to be escaped: {@code 17:i-002/3=1-3/4=6;i-003/0=5|18!:...}, with {@code !} where the
 * tasks are being stopped. If a machine id contains any character other than ASCII letters, digits and {@code -_.}, a
 * chunked record uses the JSON form too.
 */
final class AllocationCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String JSON_START = "[";

    private static final char GROUP_SEPARATOR = '|';
    private static final char GROUP_KEY_END = ':';
    private static final char STOPPING_SUFFIX = '!';
    private static final char PAGE_SEPARATOR = ';';
    private static final char MACHINE_SEPARATOR = '/';
    private static final char TASKS_START = '=';

    private AllocationCodec() {}

    /** The common fields of allocations that are grouped in the stored forms. */
    private record GroupKey(long attemptBase, boolean stopping) {}

    /** Formats allocations in the JSON form. */
    static ArrayNode toJson(List<Allocation> allocations) {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        group(allocations).forEach((key, tasksByMachine) -> {
            ObjectNode pages =
                    list.addArray().add(key.attemptBase).add(key.stopping).addObject();
            tasksByMachine.forEach((machineId, tasks) -> {
                String page = Keys.machinePageName(machineId);
                ObjectNode rows = pages.get(page) instanceof ObjectNode known ? known : pages.putObject(page);
                rows.put(machineId.substring(page.length()), formatTasks(tasks));
            });
        });
        return list;
    }

    /** Parses the form that {@link #toJson} writes. */
    static List<Allocation> parseJson(JsonNode list) {
        var allocations = new ArrayList<Allocation>();
        list.forEach(group -> parseGroup(group, allocations));
        return allocations;
    }

    private static void parseGroup(JsonNode group, List<Allocation> into) {
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

    /** Formats allocations in the text form, or in the JSON form if a machine id requires that. */
    static String toText(List<Allocation> allocations) {
        for (Allocation allocation : allocations) {
            if (!isUnreserved(allocation.machineId())) {
                return toJson(allocations).toString();
            }
        }
        var text = new StringBuilder();
        group(allocations).forEach((key, tasksByMachine) -> {
            if (!text.isEmpty()) {
                text.append(GROUP_SEPARATOR);
            }
            text.append(key.attemptBase);
            if (key.stopping) {
                text.append(STOPPING_SUFFIX);
            }
            text.append(GROUP_KEY_END);
            appendMachines(text, tasksByMachine);
        });
        return text.toString();
    }

    private static void appendMachines(StringBuilder text, Map<String, IntRBTreeSet> tasksByMachine) {
        String previousPage = null;
        for (Map.Entry<String, IntRBTreeSet> entry : tasksByMachine.entrySet()) {
            String machineId = entry.getKey();
            String page = Keys.machinePageName(machineId);
            if (previousPage != null && !page.equals(previousPage)) {
                text.append(PAGE_SEPARATOR);
            }
            if (!page.equals(previousPage)) {
                text.append(page);
            }
            text.append(MACHINE_SEPARATOR)
                    .append(machineId, page.length(), machineId.length())
                    .append(TASKS_START)
                    .append(formatTasks(entry.getValue()));
            previousPage = page;
        }
    }

    /** Whether a machine id consists only of characters that the text form does not use as separators. */
    private static boolean isUnreserved(String machineId) {
        return !machineId.isEmpty() && machineId.chars().allMatch(AllocationCodec::isUnreserved);
    }

    private static boolean isUnreserved(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || character == '-'
                || character == '_'
                || character == '.';
    }

    /** Parses the form that {@link #toText} writes. */
    static List<Allocation> parseText(String text) throws IOException, MalformedMessageException {
        if (text.startsWith(JSON_START)) {
            return parseJson(JSON.readTree(text));
        }
        var allocations = new ArrayList<Allocation>();
        if (text.isEmpty()) {
            return allocations;
        }
        for (String group : text.split("\\" + GROUP_SEPARATOR)) {
            parseGroup(group, allocations);
        }
        return allocations;
    }

    private static void parseGroup(String text, List<Allocation> into) throws MalformedMessageException {
        int end = text.indexOf(GROUP_KEY_END);
        if (end < 1) {
            throw malformed("no attempt before '" + GROUP_KEY_END + "'");
        }
        boolean stopping = text.charAt(end - 1) == STOPPING_SUFFIX;
        long attemptBase = Long.parseLong(text.substring(0, stopping ? end - 1 : end));
        var key = new GroupKey(attemptBase, stopping);
        for (String page : text.substring(end + 1).split(String.valueOf(PAGE_SEPARATOR))) {
            parsePage(page, key, into);
        }
    }

    private static void parsePage(String text, GroupKey key, List<Allocation> into) throws MalformedMessageException {
        String[] pageAndMachines = text.split(String.valueOf(MACHINE_SEPARATOR));
        for (int i = 1; i < pageAndMachines.length; i++) {
            String machine = pageAndMachines[i];
            int tasksStart = machine.indexOf(TASKS_START);
            if (tasksStart < 0) {
                throw malformed("no '" + TASKS_START + "' after a machine id");
            }
            String machineId = pageAndMachines[0] + machine.substring(0, tasksStart);
            for (int task : TaskIndexSet.parse(machine.substring(tasksStart + 1))) {
                into.add(new Allocation(task, machineId, key.attemptBase, key.stopping));
            }
        }
    }

    private static MalformedMessageException malformed(String reason) {
        return new MalformedMessageException("malformed allocations: " + reason);
    }

    private static Map<GroupKey, Map<String, IntRBTreeSet>> group(List<Allocation> allocations) {
        var groups = new LinkedHashMap<GroupKey, Map<String, IntRBTreeSet>>();
        for (Allocation allocation : allocations) {
            groups.computeIfAbsent(
                            new GroupKey(allocation.attemptBase(), allocation.stopping()), key -> new TreeMap<>())
                    .computeIfAbsent(allocation.machineId(), machineId -> new IntRBTreeSet())
                    .add(allocation.task());
        }
        return groups;
    }

    private static String formatTasks(IntRBTreeSet tasks) {
        return TaskIndexSet.format(new IntArrayList(tasks));
    }
}
