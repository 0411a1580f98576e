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
 * The two stored forms of a job's allocations. Both group them by binding, then by page and machine, with ranges of task
 * indices, so that a gang as large as its team's quota still fits into one value.
 *
 * <p>JSON, in a record that is one value: {@code [[17,false,{"i-002":{"3":"1-3","4":"6"}}]]}. Text, in a chunked record,
 * where JSON's quotes would have to be escaped: {@code 17:i-002/3=1-3/4=6;i-003/0=5|18!:...}, with {@code !} where the
 * tasks are being stopped. If a machine id contains any character other than ASCII letters, digits and {@code -_.}, a
 * chunked record uses the JSON form too.
 */
final class AllocationCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String JSON_START = "[";

    private static final char BINDING_SEPARATOR = '|';
    private static final char BINDING_END = ':';
    private static final char STOPPING_MARK = '!';
    private static final char PAGE_SEPARATOR = ';';
    private static final char MACHINE_SEPARATOR = '/';
    private static final char TASKS_START = '=';

    private AllocationCodec() {}

    /** The common fields of allocations that are grouped in the stored forms. */
    private record Binding(long attemptBase, boolean stopping) {}

    /** Formats allocations in the JSON form. */
    static ArrayNode toJson(List<Allocation> allocations) {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        group(allocations).forEach((binding, tasksByMachine) -> {
            ObjectNode pages = list.addArray()
                    .add(binding.attemptBase)
                    .add(binding.stopping)
                    .addObject();
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
        list.forEach(binding -> parseBinding(binding, allocations));
        return allocations;
    }

    private static void parseBinding(JsonNode binding, List<Allocation> into) {
        for (Map.Entry<String, JsonNode> page : binding.path(2).properties()) {
            for (Map.Entry<String, JsonNode> row : page.getValue().properties()) {
                for (int task : TaskIndexSet.parse(row.getValue().textValue())) {
                    into.add(new Allocation(
                            task,
                            page.getKey() + row.getKey(),
                            binding.get(0).longValue(),
                            binding.get(1).booleanValue()));
                }
            }
        }
    }

    /** Formats allocations in the text form, or in the JSON form if a machine id requires that. */
    static String toText(List<Allocation> allocations) {
        for (Allocation allocation : allocations) {
            if (!isPlain(allocation.machineId())) {
                return toJson(allocations).toString();
            }
        }
        var text = new StringBuilder();
        group(allocations).forEach((binding, tasksByMachine) -> {
            if (!text.isEmpty()) {
                text.append(BINDING_SEPARATOR);
            }
            text.append(binding.attemptBase);
            if (binding.stopping) {
                text.append(STOPPING_MARK);
            }
            text.append(BINDING_END);
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
    private static boolean isPlain(String machineId) {
        return !machineId.isEmpty() && machineId.chars().allMatch(AllocationCodec::isPlain);
    }

    private static boolean isPlain(int character) {
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
        for (String binding : text.split("\\" + BINDING_SEPARATOR)) {
            parseBinding(binding, allocations);
        }
        return allocations;
    }

    private static void parseBinding(String text, List<Allocation> into) throws MalformedMessageException {
        int end = text.indexOf(BINDING_END);
        if (end < 1) {
            throw malformed();
        }
        boolean stopping = text.charAt(end - 1) == STOPPING_MARK;
        long attemptBase = Long.parseLong(text.substring(0, stopping ? end - 1 : end));
        var binding = new Binding(attemptBase, stopping);
        for (String page : text.substring(end + 1).split(String.valueOf(PAGE_SEPARATOR))) {
            parsePage(page, binding, into);
        }
    }

    private static void parsePage(String text, Binding binding, List<Allocation> into)
            throws MalformedMessageException {
        String[] pageAndMachines = text.split(String.valueOf(MACHINE_SEPARATOR));
        for (int i = 1; i < pageAndMachines.length; i++) {
            String machine = pageAndMachines[i];
            int tasksStart = machine.indexOf(TASKS_START);
            if (tasksStart < 0) {
                throw malformed();
            }
            String machineId = pageAndMachines[0] + machine.substring(0, tasksStart);
            for (int task : TaskIndexSet.parse(machine.substring(tasksStart + 1))) {
                into.add(new Allocation(task, machineId, binding.attemptBase, binding.stopping));
            }
        }
    }

    private static MalformedMessageException malformed() {
        return new MalformedMessageException("malformed allocations");
    }

    private static Map<Binding, Map<String, IntRBTreeSet>> group(List<Allocation> allocations) {
        var groups = new LinkedHashMap<Binding, Map<String, IntRBTreeSet>>();
        for (Allocation allocation : allocations) {
            groups.computeIfAbsent(
                            new Binding(allocation.attemptBase(), allocation.stopping()), binding -> new TreeMap<>())
                    .computeIfAbsent(allocation.machineId(), machineId -> new IntRBTreeSet())
                    .add(allocation.task());
        }
        return groups;
    }

    private static String formatTasks(IntRBTreeSet tasks) {
        return TaskIndexSet.format(new IntArrayList(tasks));
    }
}
