package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A job as submitted by its user.
 *
 * @param types the machine types that the job may use; empty if any
 * @param zone the only zone that the job may use; empty if any
 * @param sameZone whether all tasks must run in one zone
 * @param spread whether the tasks must be spread over at least two zones
 * @param spot whether the job may run on spot machines
 * @param estimate the expected run time of a task
 * @param checkpointInterval the interval between checkpoints; zero if tasks cannot save their progress
 * @param checkpointTime the time that writing a checkpoint takes
 * @param due the time from submission within which the job should end; empty if none is set
 */
public record Submission(
        String id,
        String jobClass,
        String team,
        JobKind kind,
        Priority priority,
        int tasks,
        Resources perTask,
        Optional<List<String>> types,
        Optional<String> zone,
        boolean sameZone,
        boolean spread,
        boolean spot,
        String image,
        double imageGb,
        Duration estimate,
        Duration checkpointInterval,
        Duration checkpointTime,
        Optional<Duration> due) {
    public static final int MAX_TASKS = 100_000;

    /** The resources of all tasks together. */
    public Resources totalResources() {
        return perTask.times(tasks);
    }

    /** Whether all tasks run at the same time or none does. */
    public boolean isGang() {
        return kind == JobKind.GANG;
    }

    /** Whether its tasks run until its user cancels it. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** Whether the job is useful only with all of its tasks running; the whole job must then fit within its team's limit. */
    public boolean requiresAllTasks() {
        return isGang() || isService();
    }

    /** Whether a stopped task can save its progress. */
    public boolean checkpoints() {
        return !checkpointInterval.isZero();
    }

    /** Reads and validates a submission; the exception names the field that is missing or invalid. */
    public static Submission parse(JsonNode body) throws MalformedMessageException {
        if (!body.isObject()) {
            throw new MalformedMessageException("the body is not a map");
        }
        var f = new Fields(body);
        String id = f.text("id", 64);
        if (!wellFormedId(id)) {
            throw f.invalid("id", "1 to 16 lower-case letters, a dash and digits, such as wk-000412");
        }
        JobKind kind =
                JobKind.parse(f.text("shape", 16)).orElseThrow(() -> f.invalid("shape", "array, group or daemon"));
        Priority priority = Priority.parse(f.text("rank", 16))
                .orElseThrow(() -> f.invalid("rank", "critical, urgent, normal or low"));
        long tasks = f.whole("pieces", 1, MAX_TASKS);
        var perTask = new Resources(f.amount("vcpus"), f.amount("accelerators"), f.amount("ramGb"));
        return new Submission(
                id,
                f.text("jobclass", 128),
                f.text("owner", 128),
                kind,
                priority,
                (int) tasks,
                perTask,
                f.optionalTexts("hulls", 64),
                f.optionalText("dune", 128),
                f.flag("samePlace"),
                f.flag("apart"),
                f.flag("driftwood"),
                f.text("bundle", 200),
                f.amount("imageGb"),
                f.seconds("guessS"),
                f.seconds("snapshotS"),
                f.seconds("flushS"),
                f.optionalSeconds("dueS"));
    }

    /** Whether a text has the form of a job's id: 1 to 16 lower-case letters, a dash and digits, 64 characters at most. */
    public static boolean wellFormedId(String id) {
        int dash = id.indexOf('-');
        if (dash < 1 || dash > 16 || id.length() == dash + 1 || id.length() > 64) {
            return false;
        }
        for (int i = 0; i < id.length(); i++) {
            char c = id.charAt(i);
            boolean allowed = i < dash ? c >= 'a' && c <= 'z' : i == dash || (c >= '0' && c <= '9');
            if (!allowed) {
                return false;
            }
        }
        return true;
    }

    /** Encodes the submission as the map that {@link #parse} reads. */
    public ObjectNode toNode() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", id)
                .put("jobclass", jobClass)
                .put("owner", team)
                .put("shape", kind.wireName())
                .put("rank", priority.wireName())
                .put("pieces", tasks);
        node.put("vcpus", perTask.cpus()).put("accelerators", perTask.gpus()).put("ramGb", perTask.ramGb());
        types.ifPresent(list -> list.forEach(node.withArray("/hulls")::add));
        if (types.isPresent() && types.get().isEmpty()) {
            node.putArray("hulls");
        }
        zone.ifPresent(z -> node.put("dune", z));
        node.put("samePlace", sameZone)
                .put("apart", spread)
                .put("driftwood", spot)
                .put("bundle", image)
                .put("imageGb", imageGb);
        node.put("guessS", Fields.inSeconds(estimate))
                .put("snapshotS", Fields.inSeconds(checkpointInterval))
                .put("flushS", Fields.inSeconds(checkpointTime));
        due.ifPresent(d -> node.put("dueS", Fields.inSeconds(d)));
        return node;
    }

    /** Typed access to a map's fields; an invalid field is reported with its name, the allowed values and the given value. */
    static final class Fields {
        private static final double MAX_AMOUNT = 1e9;
        private static final int MAX_LISTED_TEXT_LENGTH = 128;
        private final JsonNode node;

        Fields(JsonNode node) {
            this.node = node;
        }

        static double inSeconds(Duration d) {
            return d.toNanos() / 1e9;
        }

        MalformedMessageException invalid(String name, String allowed) {
            return MalformedMessageException.invalid(name, allowed, node.get(name));
        }

        private JsonNode present(String name) throws MalformedMessageException {
            JsonNode value = node.get(name);
            if (value == null || value.isNull()) {
                throw new MalformedMessageException(name + " is missing");
            }
            return value;
        }

        private boolean absent(String name) {
            JsonNode value = node.get(name);
            return value == null || value.isNull();
        }

        String text(String name, int maxLength) throws MalformedMessageException {
            JsonNode value = present(name);
            if (!value.isTextual()
                    || value.textValue().isEmpty()
                    || value.textValue().length() > maxLength) {
                throw invalid(name, "text of 1 to " + maxLength + " characters");
            }
            return value.textValue();
        }

        Optional<String> optionalText(String name, int maxLength) throws MalformedMessageException {
            return absent(name) ? Optional.empty() : Optional.of(text(name, maxLength));
        }

        Optional<List<String>> optionalTexts(String name, int maxCount) throws MalformedMessageException {
            if (absent(name)) {
                return Optional.empty();
            }
            JsonNode value = node.get(name);
            if (!value.isArray() || value.size() > maxCount) {
                throw invalid(name, "a list of at most " + maxCount + " texts");
            }
            var list = new ArrayList<String>(value.size());
            for (JsonNode item : value) {
                if (!item.isTextual() || item.textValue().length() > MAX_LISTED_TEXT_LENGTH) {
                    throw MalformedMessageException.invalid(
                            "each item of " + name, "text of at most " + MAX_LISTED_TEXT_LENGTH + " characters", item);
                }
                list.add(item.textValue());
            }
            return Optional.of(List.copyOf(list));
        }

        long whole(String name, long min, long max) throws MalformedMessageException {
            JsonNode value = present(name);
            if (!value.isIntegralNumber()
                    || !value.canConvertToLong()
                    || value.longValue() < min
                    || value.longValue() > max) {
                throw invalid(name, "a whole number from " + min + " to " + max);
            }
            return value.longValue();
        }

        double amount(String name) throws MalformedMessageException {
            JsonNode value = present(name);
            if (!value.isNumber()
                    || !Double.isFinite(value.doubleValue())
                    || value.doubleValue() < 0
                    || value.doubleValue() > MAX_AMOUNT) {
                throw invalid(name, "a number from 0 to 1e9");
            }
            return value.doubleValue();
        }

        Duration seconds(String name) throws MalformedMessageException {
            return Duration.ofNanos(Math.round(amount(name) * 1e9));
        }

        Optional<Duration> optionalSeconds(String name) throws MalformedMessageException {
            return absent(name) ? Optional.empty() : Optional.of(seconds(name));
        }

        boolean flag(String name) throws MalformedMessageException {
            JsonNode value = present(name);
            if (!value.isBoolean()) {
                throw invalid(name, "true or false");
            }
            return value.booleanValue();
        }
    }
}
