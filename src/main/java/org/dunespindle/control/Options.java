package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/**
 * The operators' own settings. They live in the state service; what is not set there has its default.
 * Values are kept as plain numbers, with the unit in the name.
 */
public final class Options {
    private static final Duration LONGEST_SILENCE = Duration.ofSeconds(16);
    private final Map<String, Double> set;
    private final Map<String, Kind> kinds;

    /** An option: its range, default and meaning. */
    private record Kind(double least, double most, boolean whole, double standard, String meaning) {}

    private Options(Map<String, Double> set, Duration lease) {
        this.set = set;
        this.kinds = kinds(lease);
    }

    /** The options while none is set. */
    public static Options defaults(Duration lease) {
        return new Options(Map.of(), lease);
    }

    private static Map<String, Kind> kinds(Duration lease) {
        Duration silent = lease.compareTo(LONGEST_SILENCE) > 0 ? LONGEST_SILENCE : lease;
        var k = new LinkedHashMap<String, Kind>();
        k.put(
                "first_hold_timer_s",
                new Kind(5, 3600, false, 60, "how long a gang's placement may take from its first placeholder on"));
        k.put(
                "idle_return_s",
                new Kind(
                        0,
                        86_400,
                        false,
                        25,
                        "how long an ordinary machine may idle before it is given back, in a fleet of up to 30; less in a larger one,"
                                + " by the square root of its size, down to 8 s"));
        k.put("idle_spot_return_s", new Kind(0, 86_400, false, 60, "the same for spot machines"));
        k.put(
                "silent_return_s",
                new Kind(
                        3,
                        3600,
                        false,
                        silent.toSeconds(),
                        "silence after which a machine is given back and its tasks start elsewhere"));
        k.put(
                "quarantine_errors",
                new Kind(1, 100, true, 2, "failures in a row, of different jobs, after which a machine is given back"));
        k.put(
                "boot_patience",
                new Kind(
                        1,
                        20,
                        true,
                        3,
                        "multiple of the boot time after which a machine that never reported is given back"));
        k.put(
                "spare_jobs",
                new Kind(
                        0, 10, true, 1, "typical next jobs of each class with a wait aim that spare room is kept for"));
        k.put(
                "borrowed_machines",
                new Kind(
                        0,
                        100_000,
                        true,
                        100_000,
                        "machines of other controllers that the leader may borrow at a time for gangs"));
        k.put(
                "lent_s",
                new Kind(
                        0,
                        86_400,
                        false,
                        60,
                        "how long the leader keeps a borrowed machine after the last gang on it"));
        putFederation(k);
        return k;
    }

    /** Settings of the federation; without it they change nothing. */
    private static void putFederation(Map<String, Kind> k) {
        k.put(
                "spill_after_s",
                new Kind(
                        1, 86_400, false, 30, "how long a job waits for room before other cells are asked to take it"));
        k.put(
                "recall_after_s",
                new Kind(
                        5,
                        86_400,
                        false,
                        60,
                        "how long a job may wait in another cell, or for its answer, before it is wanted back"));
        k.put(
                "spill_pause_s",
                new Kind(
                        1,
                        3600,
                        false,
                        30,
                        "how long a job that came back is not given away again; twice as long after each further time"));
        k.put(
                "most_transfers",
                new Kind(
                        1, 20, true, 3, "how often a job may be given away before it waits for room at home for good"));
        k.put("most_visitors", new Kind(0, 10_000, true, 200, "unfinished jobs of other cells that are taken in"));
    }

    /** The options as stored; a stored value that is out of range by now counts as not set. */
    public static Options of(Optional<JsonNode> stored, Duration lease) {
        var set = new LinkedHashMap<String, Double>();
        stored.ifPresent(n -> kinds(lease).forEach((name, kind) -> {
            if (n.has(name) && complaint(name, n.get(name), lease).isEmpty()) {
                set.put(name, n.get(name).doubleValue());
            }
        }));
        return new Options(set, lease);
    }

    /** What is wrong with a value, naming what is allowed. */
    public static Optional<String> complaint(String name, JsonNode value, Duration lease) {
        Kind k = kinds(lease).get(name);
        if (k == null) {
            return Optional.of("unknown option " + name + "; there are "
                    + String.join(", ", kinds(lease).keySet()));
        }
        boolean fine = value.isNumber()
                && value.doubleValue() >= k.least
                && value.doubleValue() <= k.most
                && (!k.whole || value.doubleValue() == Math.rint(value.doubleValue()));
        return fine
                ? Optional.empty()
                : Optional.of(name + " must be a " + (k.whole ? "whole number" : "number") + " from " + plain(k.least)
                        + " to " + plain(k.most));
    }

    private static String plain(double d) {
        return Long.toString((long) d);
    }

    private double value(String name) {
        Double v = set.get(name);
        return v != null ? v : kinds.get(name).standard;
    }

    private Duration seconds(String name) {
        return Duration.ofMillis(Math.round(value(name) * 1000));
    }

    /** How long a gang's placement may take from its first placeholder on. */
    public Duration firstHoldTimer() {
        return seconds("first_hold_timer_s");
    }

    /** How long an ordinary or spot machine may idle in a small fleet. */
    public Duration idleBeforeReturn(boolean spot) {
        return seconds(spot ? "idle_spot_return_s" : "idle_return_s");
    }

    /** Silence after which a machine is given back. */
    public Duration silentBeforeReturn() {
        return seconds("silent_return_s");
    }

    /** Failures of different jobs that put a machine in quarantine. */
    public int quarantineAfter() {
        return (int) value("quarantine_errors");
    }

    /** Multiple of the boot time after which a silent machine is given back. */
    public int bootPatience() {
        return (int) value("boot_patience");
    }

    /** Typical next jobs of each class that room is kept for. */
    public int spareJobs() {
        return (int) value("spare_jobs");
    }

    /** How many machines the leader may borrow at a time. */
    public int borrowedMachines() {
        return (int) value("borrowed_machines");
    }

    /** How long the leader keeps a borrowed machine after the last gang on it. */
    public Duration borrowedAtLeast() {
        return seconds("lent_s");
    }

    /** How long a job waits for room before other cells are asked. */
    public Duration spillAfter() {
        return seconds("spill_after_s");
    }

    /** How long a job may wait in another cell before it is wanted back. */
    public Duration recallAfter() {
        return seconds("recall_after_s");
    }

    /** How long a job that came back for the first time is not given away again. */
    public Duration spillPause() {
        return seconds("spill_pause_s");
    }

    /** How often a job may be given away. */
    public int mostTransfers() {
        return (int) value("most_transfers");
    }

    /** How many unfinished jobs of other cells are taken in. */
    public int mostVisitors() {
        return (int) value("most_visitors");
    }

    /** All options with value, range, default and meaning. */
    public ArrayNode describe() {
        ArrayNode list = MessagePackCodec.map().putArray("options");
        kinds.forEach((name, k) -> {
            ObjectNode o = list.addObject();
            o.put("name", name)
                    .put("value", value(name))
                    .put("default", k.standard)
                    .put("least", k.least)
                    .put("most", k.most)
                    .put("type", k.whole ? "whole number" : "number")
                    .put("meaning", k.meaning);
        });
        return list;
    }
}
