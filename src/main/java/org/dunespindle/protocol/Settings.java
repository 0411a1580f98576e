package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
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

/** The platform's settings file, checked. Unknown settings are ignored. */
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

    /** Another controller. */
    public record Seed(String name, String zone, String address) {}

    /** A team; a guarantee or limit of 0 in the file means none, which is infinity here for a limit. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Whether a use keeps within the team's limit. */
        public boolean withinLimit(Resources use) {
            return use.cpus() <= cpusMax + 1e-6 && use.gpus() <= gpusMax + 1e-6;
        }

        /** Whether a use lies within the guarantee; an amount without a guarantee does not count. */
        public boolean withinGuarantee(Resources use) {
            return (cpus > 0 || gpus > 0)
                    && (cpus == 0 || use.cpus() <= cpus + 1e-6)
                    && (gpus == 0 || use.gpus() <= gpus + 1e-6);
        }
    }

    /** A restated aim; {@code times} is the multiple of its deadline that a job is measured by. */
    public record Objective(String kind, String jobClass, Duration within, double share, double times) {}

    /** Timing of the workers. */
    public record Workers(Duration report, Duration lease, Duration gangWait, Duration gangPeer, Duration cancel) {}

    /** Limits of the state service. */
    public record State(double rps, double writeRps, int valueBytes, int txnOps) {}

    /** Limits of the cloud. */
    public record Cloud(double rps, Duration listLag) {}

    /** Reads the file; a complaint names the field. */
    public static Settings load(Path file) throws MalformedException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new MalformedException("cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse("unreadable"));
        }
        return parse(root);
    }

    /** Reads and checks settings; the message of a failure names the field. */
    public static Settings parse(JsonNode root) throws MalformedException {
        var seeds = new ArrayList<Seed>();
        for (JsonNode s : root.path("seeds")) {
            String address = text(s, "seeds.", "address");
            if (!address.matches(".+:\\d{1,5}")) {
                throw new MalformedException("seeds.address must be address:port, not " + address);
            }
            seeds.add(new Seed(text(s, "seeds.", "node_name"), s.path("area").asText(""), address));
        }
        JsonNode d = table(root, "deployment");
        var teams = new LinkedHashMap<String, Team>();
        for (JsonNode t : d.path("teams")) {
            String at = "deployment.teams.";
            String name = text(t, at, "name");
            var team = new Team(
                    name,
                    amount(t, at, "cpus"),
                    limit(amount(t, at, "cpus_max")),
                    amount(t, at, "gpus"),
                    limit(amount(t, at, "gpus_max")));
            if (team.cpus > team.cpusMax || team.gpus > team.gpusMax) {
                throw new MalformedException(
                        at + (team.gpus > team.gpusMax ? "gpus" : "cpus") + " of " + name + " is above its limit");
            }
            if (teams.put(name, team) != null) {
                throw new MalformedException(at + "name " + name + " occurs twice");
            }
        }
        if (teams.isEmpty()) {
            throw new MalformedException("deployment.teams is missing");
        }
        var objectives = new ArrayList<Objective>();
        for (JsonNode o : d.path("objectives")) {
            objectives.add(new Objective(
                    o.path("kind").asText(""),
                    o.path("class").asText(""),
                    seconds(optional(o, "deployment.objectives.", "within_s", 0)),
                    optional(o, "deployment.objectives.", "share", 0),
                    optional(o, "deployment.objectives.", "times", 1)));
        }
        var zones = new ArrayList<String>();
        d.path("zones").forEach(z -> zones.add(z.asText()));
        JsonNode w = table(d, "workers");
        String at = "deployment.workers.";
        var workers = new Workers(
                duration(w, at, "report_s"),
                duration(w, at, "lease_s"),
                duration(w, at, "gang_wait_s"),
                duration(w, at, "gang_peer_s"),
                duration(w, at, "cancel_s"));
        if (workers.report.compareTo(workers.lease) >= 0) {
            throw new MalformedException(at + "lease_s must be longer than report_s");
        }
        JsonNode s = table(d, "state");
        var state = new State(
                positive(s, "deployment.state.", "rps"),
                positive(s, "deployment.state.", "write_rps"),
                (int) (positive(s, "deployment.state.", "value_kb") * 1024),
                (int) positive(s, "deployment.state.", "txn_ops"));
        JsonNode c = table(d, "cloud");
        var cloud = new Cloud(
                positive(c, "deployment.cloud.", "rps"), seconds(amount(c, "deployment.cloud.", "list_lag_s")));
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
                List.copyOf(seeds),
                cloudAddress,
                stateAddress,
                List.copyOf(zones),
                Map.copyOf(teams),
                List.copyOf(objectives),
                workers,
                state,
                cloud,
                (int) Math.max(1, optional(d.path("resources"), "deployment.resources.", "fd_limit", DEFAULT_SOCKETS)));
    }

    private static double limit(double value) {
        return value == 0 ? Double.POSITIVE_INFINITY : value;
    }

    private static JsonNode table(JsonNode parent, String name) throws MalformedException {
        JsonNode t = parent.path(name);
        if (!t.isObject()) {
            throw new MalformedException("table " + name + " is missing");
        }
        return t;
    }

    private static String text(JsonNode n, String at, String name) throws MalformedException {
        JsonNode v = n.path(name);
        if (!v.isTextual() || v.textValue().isBlank()) {
            throw new MalformedException(at + name + " must be text");
        }
        return v.textValue();
    }

    private static double amount(JsonNode n, String at, String name) throws MalformedException {
        JsonNode v = n.path(name);
        if (!v.isNumber() || !(v.doubleValue() >= 0) || Double.isInfinite(v.doubleValue())) {
            throw new MalformedException(at + name + " must be a number of at least 0");
        }
        return v.doubleValue();
    }

    private static double optional(JsonNode n, String at, String name, double otherwise) throws MalformedException {
        return n.path(name).isMissingNode() ? otherwise : amount(n, at, name);
    }

    private static double positive(JsonNode n, String at, String name) throws MalformedException {
        double v = amount(n, at, name);
        if (v <= 0) {
            throw new MalformedException(at + name + " must be above 0");
        }
        return v;
    }

    private static Duration duration(JsonNode n, String at, String name) throws MalformedException {
        return seconds(positive(n, at, name));
    }

    private static Duration seconds(double s) {
        return Duration.ofNanos(Math.round(s * 1e9));
    }

    private static InetSocketAddress socket(String name, String text) throws MalformedException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (RuntimeException e) {
            // falls through to the complaint below
        }
        throw new MalformedException(name + " must be address:port, not " + text);
    }
}
