package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A job as its user describes it. */
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
        Duration checkpointEvery,
        Duration checkpointTime,
        Optional<Duration> due) {
    public static final int MAX_TASKS = 100_000;

    /** What all tasks take together. */
    public Resources totalResources() {
        return perTask.times(tasks);
    }

    /** Whether all tasks run at the same time or none does. */
    public boolean isGang() {
        return kind == JobKind.GANG;
    }

    /** Whether its tasks run until its user calls it off. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** Whether it is of use only with all of its tasks: it may then never need more than its team's limit at once. */
    public boolean runsAsWhole() {
        return isGang() || isService();
    }

    /** Whether a stopped task can save its progress. */
    public boolean checkpoints() {
        return !checkpointEvery.isZero();
    }

    /** Reads and checks a submission; what is missing or out of range is named in the exception. */
    public static Submission parse(JsonNode body) throws MalformedMessageException {
        if (!body.isObject()) {
            throw new MalformedMessageException("the body is not a map");
        }
        var f = new Fields(body);
        String id = f.text("id", 64);
        if (!wellFormedId(id)) {
            throw new MalformedMessageException("id must look like wk-000412");
        }
        JobKind shape = JobKind.parse(f.text("shape", 16))
                .orElseThrow(() -> new MalformedMessageException("shape must be array, group or daemon"));
        Priority priority = Priority.parse(f.text("rank", 16))
                .orElseThrow(() -> new MalformedMessageException("rank must be critical, urgent, normal or low"));
        long tasks = f.whole("pieces", 1, MAX_TASKS);
        var per = new Resources(f.amount("vcpus"), f.amount("accelerators"), f.amount("ramGb"));
        return new Submission(
                id,
                f.text("jobclass", 128),
                f.text("owner", 128),
                shape,
                priority,
                (int) tasks,
                per,
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

    /** Ids are letters, a dash, then digits, as in the example; other text is no job's id. */
    public static boolean wellFormedId(String id) {
        int dash = id.indexOf('-');
        if (dash < 1 || dash > 16 || id.length() == dash + 1 || id.length() > 64) {
            return false;
        }
        for (int i = 0; i < id.length(); i++) {
            char c = id.charAt(i);
            boolean fine = i < dash ? c >= 'a' && c <= 'z' : i == dash || (c >= '0' && c <= '9');
            if (!fine) {
                return false;
            }
        }
        return true;
    }

    /** The same map that {@link #parse} reads. */
    public ObjectNode toNode() {
        ObjectNode n = JsonNodeFactory.instance.objectNode();
        n.put("id", id)
                .put("jobclass", jobClass)
                .put("owner", team)
                .put("shape", kind.wire())
                .put("rank", priority.wire())
                .put("pieces", tasks);
        n.put("vcpus", perTask.cpus()).put("accelerators", perTask.gpus()).put("ramGb", perTask.ramGb());
        types.ifPresent(list -> list.forEach(n.withArray("/hulls")::add));
        if (types.isPresent() && types.get().isEmpty()) {
            n.putArray("hulls");
        }
        zone.ifPresent(z -> n.put("dune", z));
        n.put("samePlace", sameZone)
                .put("apart", spread)
                .put("driftwood", spot)
                .put("bundle", image)
                .put("imageGb", imageGb);
        n.put("guessS", Fields.inSeconds(estimate))
                .put("snapshotS", Fields.inSeconds(checkpointEvery))
                .put("flushS", Fields.inSeconds(checkpointTime));
        due.ifPresent(d -> n.put("dueS", Fields.inSeconds(d)));
        return n;
    }

    /** Typed access to a map's fields with plain complaints. */
    static final class Fields {
        private static final double MOST = 1e9;
        private final JsonNode node;

        Fields(JsonNode node) {
            this.node = node;
        }

        static double inSeconds(Duration d) {
            return d.toNanos() / 1e9;
        }

        private JsonNode present(String name) throws MalformedMessageException {
            JsonNode v = node.get(name);
            if (v == null || v.isNull()) {
                throw new MalformedMessageException(name + " is missing");
            }
            return v;
        }

        private boolean absent(String name) {
            JsonNode v = node.get(name);
            return v == null || v.isNull();
        }

        String text(String name, int most) throws MalformedMessageException {
            JsonNode v = present(name);
            if (!v.isTextual() || v.textValue().isEmpty() || v.textValue().length() > most) {
                throw new MalformedMessageException(name + " must be text of 1 to " + most + " characters");
            }
            return v.textValue();
        }

        Optional<String> optionalText(String name, int most) throws MalformedMessageException {
            return absent(name) ? Optional.empty() : Optional.of(text(name, most));
        }

        Optional<List<String>> optionalTexts(String name, int most) throws MalformedMessageException {
            if (absent(name)) {
                return Optional.empty();
            }
            JsonNode v = node.get(name);
            if (!v.isArray() || v.size() > most) {
                throw new MalformedMessageException(name + " must be a list of at most " + most + " texts");
            }
            var list = new ArrayList<String>(v.size());
            for (JsonNode item : v) {
                if (!item.isTextual() || item.textValue().length() > 128) {
                    throw new MalformedMessageException(name + " must hold only texts");
                }
                list.add(item.textValue());
            }
            return Optional.of(List.copyOf(list));
        }

        long whole(String name, long least, long most) throws MalformedMessageException {
            JsonNode v = present(name);
            if (!v.isIntegralNumber() || !v.canConvertToLong() || v.longValue() < least || v.longValue() > most) {
                throw new MalformedMessageException(name + " must be a whole number from " + least + " to " + most);
            }
            return v.longValue();
        }

        double amount(String name) throws MalformedMessageException {
            JsonNode v = present(name);
            if (!v.isNumber() || !Double.isFinite(v.doubleValue()) || v.doubleValue() < 0 || v.doubleValue() > MOST) {
                throw new MalformedMessageException(name + " must be a number from 0 to 1e9");
            }
            return v.doubleValue();
        }

        Duration seconds(String name) throws MalformedMessageException {
            return Duration.ofNanos(Math.round(amount(name) * 1e9));
        }

        Optional<Duration> optionalSeconds(String name) throws MalformedMessageException {
            return absent(name) ? Optional.empty() : Optional.of(seconds(name));
        }

        boolean flag(String name) throws MalformedMessageException {
            JsonNode v = present(name);
            if (!v.isBoolean()) {
                throw new MalformedMessageException(name + " must be true or false");
            }
            return v.booleanValue();
        }
    }
}
