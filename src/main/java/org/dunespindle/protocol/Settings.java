package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The validated settings file of the platform. Unknown settings are ignored. */
public record Settings(
        String nodeName,
        String zone,
        InetSocketAddress front,
        InetSocketAddress peerListen,
        List<Seed> seeds,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        Workers workers,
        State state,
        Cloud cloud,
        int sockets) {

    private static final int DEFAULT_SOCKETS = 1024;
    private static final double BYTES_PER_KB = 1024;
    /** A placement may write the job's record and its team's record in one transaction. */
    private static final int MIN_TXN_OPS = 2;
    /** The part of a job's record that cannot be split has to fit into one value. */
    private static final double MIN_VALUE_KB = 0.4;
    /** Absorbs the rounding errors of sums of decimals. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Another controller of the cell. */
    public record Seed(String name, String zone, String address) {}

    /** A team's guarantees and limits. A value of 0 in the file means that there is none; a missing limit is infinite here. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Whether a usage is within the team's limits. */
        public boolean withinLimit(Resources usage) {
            return usage.cpus() <= cpusMax + ROUNDING_TOLERANCE && usage.gpus() <= gpusMax + ROUNDING_TOLERANCE;
        }

        /** Whether a usage is within the team's guarantees; a resource without a guarantee is not compared. */
        public boolean withinGuarantee(Resources usage) {
            return (cpus > 0 || gpus > 0)
                    && (cpus == 0 || usage.cpus() <= cpus + ROUNDING_TOLERANCE)
                    && (gpus == 0 || usage.gpus() <= gpus + ROUNDING_TOLERANCE);
        }
    }

    /**
     * A service-level objective.
     *
     * @param times the multiple of a job's deadline that the job is measured by
     */
    public record Objective(String kind, String jobClass, Duration within, double share, double times) {}

    /** Intervals and timeouts of the workers. */
    public record Workers(
            Duration heartbeatInterval,
            Duration leaseDuration,
            Duration gangAssemblyTimeout,
            Duration gangPeerTimeout,
            Duration cancellationTimeout) {}

    /**
     * Limits of the state store.
     *
     * @param next announced limits that take effect at an unknown time; empty if none are announced
     */
    public record State(double rps, double writeRps, int valueBytes, int txnOps, Optional<State> next) {
        /** The lower of the present and the announced limits, which hold both before and after the change. */
        public State lowest() {
            return next.map(later -> new State(
                            Math.min(rps, later.rps),
                            Math.min(writeRps, later.writeRps),
                            Math.min(valueBytes, later.valueBytes),
                            Math.min(txnOps, later.txnOps),
                            Optional.empty()))
                    .orElse(this);
        }
    }

    /**
     * Limits of the cloud.
     *
     * @param listLag the longest delay until a change appears in the cloud's machine list
     */
    public record Cloud(double rps, Duration listLag) {}

    /** Reads and validates a settings file; the exception names the invalid field. */
    public static Settings load(Path file) throws MalformedMessageException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new MalformedMessageException("cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse("unreadable"));
        }
        return parse(root);
    }

    /** Validates parsed settings; the exception names the invalid field. */
    public static Settings parse(JsonNode root) throws MalformedMessageException {
        List<Seed> seeds = seeds(root.path("seeds"));
        JsonNode deployment = table(root, "deployment");
        Map<String, Team> teams = teams(deployment.path("teams"));
        List<Objective> objectives = objectives(deployment.path("objectives"));
        Workers workers = workers(table(deployment, "workers"));
        State state = state(table(deployment, "state"));
        Cloud cloud = cloud(table(deployment, "cloud"));
        JsonNode outside = table(root, "outside");
        String cloudAddress = text(outside, "outside.", "cloud");
        String stateAddress = text(outside, "outside.", "state");
        socket("outside.cloud", cloudAddress);
        socket("outside.state", stateAddress);
        return new Settings(
                text(root, "", "node_name"),
                root.path("area").asText(""),
                socket("front", text(root, "", "front")),
                socket("peer_listen", text(root, "", "peer_listen")),
                seeds,
                cloudAddress,
                stateAddress,
                zones(deployment.path("zones")),
                teams,
                objectives,
                workers,
                state,
                cloud,
                sockets(deployment.path("resources")));
    }

    private static List<Seed> seeds(JsonNode list) throws MalformedMessageException {
        var seeds = new ArrayList<Seed>();
        for (JsonNode row : list) {
            String address = text(row, "seeds.", "address");
            if (!address.matches(".+:\\d{1,5}")) {
                throw MalformedMessageException.invalid(
                        "seeds.address", "of the form address:port", row.path("address"));
            }
            seeds.add(
                    new Seed(text(row, "seeds.", "node_name"), row.path("area").asText(""), address));
        }
        return List.copyOf(seeds);
    }

    private static Map<String, Team> teams(JsonNode list) throws MalformedMessageException {
        var teams = new LinkedHashMap<String, Team>();
        for (JsonNode row : list) {
            Team team = team(row, "deployment.teams.");
            if (teams.put(team.name, team) != null) {
                throw new MalformedMessageException("deployment.teams.name " + team.name + " occurs twice");
            }
        }
        if (teams.isEmpty()) {
            throw new MalformedMessageException("deployment.teams must list at least one team");
        }
        return Map.copyOf(teams);
    }

    private static Team team(JsonNode row, String prefix) throws MalformedMessageException {
        String name = text(row, prefix, "name");
        double cpusMax = limit(amount(row, prefix, "cpus_max"));
        double gpusMax = limit(amount(row, prefix, "gpus_max"));
        var team = new Team(name, amount(row, prefix, "cpus"), cpusMax, amount(row, prefix, "gpus"), gpusMax);
        if (team.cpus > team.cpusMax || team.gpus > team.gpusMax) {
            String field = team.gpus > team.gpusMax ? "gpus" : "cpus";
            throw new MalformedMessageException(
                    prefix + field + " of team " + name + " must not be above " + field + "_max, its limit");
        }
        return team;
    }

    private static List<Objective> objectives(JsonNode list) throws MalformedMessageException {
        var objectives = new ArrayList<Objective>();
        String prefix = "deployment.objectives.";
        for (JsonNode row : list) {
            objectives.add(new Objective(
                    row.path("kind").asText(""),
                    row.path("class").asText(""),
                    seconds(optional(row, prefix, "within_s", 0)),
                    optional(row, prefix, "share", 0),
                    optional(row, prefix, "times", 1)));
        }
        return List.copyOf(objectives);
    }

    private static List<String> zones(JsonNode list) {
        var zones = new ArrayList<String>();
        list.forEach(zone -> zones.add(zone.asText()));
        return List.copyOf(zones);
    }

    private static Workers workers(JsonNode table) throws MalformedMessageException {
        String prefix = "deployment.workers.";
        var workers = new Workers(
                duration(table, prefix, "report_s"),
                duration(table, prefix, "lease_s"),
                duration(table, prefix, "gang_wait_s"),
                duration(table, prefix, "gang_peer_s"),
                duration(table, prefix, "cancel_s"));
        if (workers.heartbeatInterval.compareTo(workers.leaseDuration) >= 0) {
            throw MalformedMessageException.invalid(
                    prefix + "lease_s", "longer than report_s (" + table.path("report_s") + ")", table.path("lease_s"));
        }
        return workers;
    }

    private static State state(JsonNode table) throws MalformedMessageException {
        String prefix = "deployment.state.";
        var now = new State(
                positive(table, prefix, "rps"),
                positive(table, prefix, "write_rps"),
                (int) (positive(table, prefix, "value_kb") * BYTES_PER_KB),
                (int) positive(table, prefix, "txn_ops"),
                Optional.empty());
        JsonNode next = table.path("next");
        if (next.isMissingNode()) {
            return now;
        }
        if (!next.isObject()) {
            throw MalformedMessageException.invalid(prefix + "next", "a table", next);
        }
        return new State(now.rps, now.writeRps, now.valueBytes, now.txnOps, Optional.of(nextState(next, now)));
    }

    /** Reads the announced limits; limits that the table does not contain stay unchanged. */
    private static State nextState(JsonNode table, State now) throws MalformedMessageException {
        String prefix = "deployment.state.next.";
        double valueKb = table.has("value_kb") ? positive(table, prefix, "value_kb") : now.valueBytes / BYTES_PER_KB;
        double txnOps = table.has("txn_ops") ? positive(table, prefix, "txn_ops") : now.txnOps;
        if (valueKb < MIN_VALUE_KB) {
            throw new MalformedMessageException(
                    prefix + "value_kb must be at least " + MIN_VALUE_KB + ", not " + valueKb);
        }
        if (txnOps < MIN_TXN_OPS) {
            throw new MalformedMessageException(prefix + "txn_ops must be at least " + MIN_TXN_OPS + ", not " + txnOps);
        }
        return new State(
                table.has("rps") ? positive(table, prefix, "rps") : now.rps,
                table.has("write_rps") ? positive(table, prefix, "write_rps") : now.writeRps,
                (int) (valueKb * BYTES_PER_KB),
                (int) txnOps,
                Optional.empty());
    }

    private static Cloud cloud(JsonNode table) throws MalformedMessageException {
        String prefix = "deployment.cloud.";
        return new Cloud(positive(table, prefix, "rps"), seconds(amount(table, prefix, "list_lag_s")));
    }

    private static int sockets(JsonNode table) throws MalformedMessageException {
        return (int) Math.max(1, optional(table, "deployment.resources.", "fd_limit", DEFAULT_SOCKETS));
    }

    private static double limit(double value) {
        return value == 0 ? Double.POSITIVE_INFINITY : value;
    }

    private static JsonNode table(JsonNode parent, String name) throws MalformedMessageException {
        JsonNode table = parent.path(name);
        if (!table.isObject()) {
            throw MalformedMessageException.invalid(name, "a table", table);
        }
        return table;
    }

    private static String text(JsonNode table, String prefix, String name) throws MalformedMessageException {
        JsonNode value = table.path(name);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw MalformedMessageException.invalid(prefix + name, "non-blank text", value);
        }
        return value.textValue();
    }

    private static double amount(JsonNode table, String prefix, String name) throws MalformedMessageException {
        JsonNode value = table.path(name);
        if (!value.isNumber() || !(value.doubleValue() >= 0) || Double.isInfinite(value.doubleValue())) {
            throw MalformedMessageException.invalid(prefix + name, "a number of at least 0", value);
        }
        return value.doubleValue();
    }

    private static double optional(JsonNode table, String prefix, String name, double defaultValue)
            throws MalformedMessageException {
        return table.path(name).isMissingNode() ? defaultValue : amount(table, prefix, name);
    }

    private static double positive(JsonNode table, String prefix, String name) throws MalformedMessageException {
        double value = amount(table, prefix, name);
        if (value <= 0) {
            throw MalformedMessageException.invalid(prefix + name, "a number above 0", table.path(name));
        }
        return value;
    }

    private static Duration duration(JsonNode table, String prefix, String name) throws MalformedMessageException {
        return seconds(positive(table, prefix, name));
    }

    private static Duration seconds(double s) {
        return Duration.ofNanos(Math.round(s * 1e9));
    }

    private static InetSocketAddress socket(String name, String text) throws MalformedMessageException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (RuntimeException e) {
            // The text is not address:port and is rejected below.
        }
        throw MalformedMessageException.invalid(name, "of the form address:port", TextNode.valueOf(text));
    }
}
