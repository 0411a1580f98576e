package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/**
 * The values of the operators' options. The state service stores them as plain numbers; an option that is not stored has its default
 * value.
 */
public final class Options {
    private static final int MILLIS_PER_SECOND = 1000;
    /** Values by the option's name. */
    private final Map<String, Double> storedValues;

    private final Duration workerLease;

    private Options(Map<String, Double> storedValues, Duration workerLease) {
        this.storedValues = storedValues;
        this.workerLease = workerLease;
    }

    /** Options that all have their default values. */
    public static Options defaults(Duration workerLease) {
        return new Options(Map.of(), workerLease);
    }

    /** The stored options; a stored value that is no longer in range is ignored. */
    public static Options of(Optional<JsonNode> stored, Duration workerLease) {
        var values = new HashMap<String, Double>();
        stored.ifPresent(record -> OptionDefinitions.ALL.forEach(option -> {
            JsonNode value = record.path(option.name());
            if (option.validate(value).isEmpty()) {
                values.put(option.name(), value.doubleValue());
            }
        }));
        return new Options(values, workerLease);
    }

    /** The error message for an unknown option or an invalid value, with what is allowed; empty if both are valid. */
    public static Optional<String> validate(String name, JsonNode value) {
        return OptionDefinitions.find(name)
                .map(option -> option.validate(value))
                .orElseGet(() -> Optional.of("unknown option " + name + "; there are " + OptionDefinitions.names()));
    }

    /** All options with their values, ranges, defaults and descriptions, for the administration API. */
    public ArrayNode describe() {
        ArrayNode list = MessagePackCodec.map().putArray("options");
        OptionDefinitions.ALL.forEach(option -> option.describe(list.addObject(), value(option), workerLease));
        return list;
    }

    private double value(OptionDefinition option) {
        Double stored = storedValues.get(option.name());
        return stored != null ? stored : option.defaultValue(workerLease);
    }

    private int count(OptionDefinition option) {
        return (int) value(option);
    }

    private Duration duration(OptionDefinition option) {
        return Duration.ofMillis(Math.round(value(option) * MILLIS_PER_SECOND));
    }

    /** How long a gang's placement may take, from its first placeholder on. */
    public Duration gangPlacementTimeout() {
        return duration(OptionDefinitions.GANG_PLACEMENT_TIMEOUT);
    }

    /** How long a spot machine, or an on-demand one, may be idle in a small fleet before it is terminated. */
    public Duration idleTimeout(boolean spot) {
        return duration(spot ? OptionDefinitions.SPOT_IDLE_TIMEOUT : OptionDefinitions.IDLE_TIMEOUT);
    }

    /** The time without a sign of life after which a machine is terminated. */
    public Duration failureTimeout() {
        return duration(OptionDefinitions.FAILURE_TIMEOUT);
    }

    /** The number of failures in a row, of different jobs, after which a machine is quarantined. */
    public int quarantineFailures() {
        return count(OptionDefinitions.QUARANTINE_FAILURES);
    }

    /** The multiple of the boot time after which a machine that has never sent a heartbeat is terminated. */
    public int bootTimeoutMultiple() {
        return count(OptionDefinitions.BOOT_TIMEOUT_MULTIPLE);
    }

    /** The number of expected next jobs of each job class that spare capacity is kept for. */
    public int spareJobs() {
        return count(OptionDefinitions.SPARE_JOBS);
    }

    /** How many machines of other controllers the leader may borrow at the same time. */
    public int maxBorrowedMachines() {
        return count(OptionDefinitions.MAX_BORROWED_MACHINES);
    }

    /** How long the leader keeps a borrowed machine after the last gang on it. */
    public Duration borrowedMachineIdleTimeout() {
        return duration(OptionDefinitions.BORROWED_MACHINE_IDLE_TIMEOUT);
    }

    /** How long a job waits for capacity before it may be delegated to other cells. */
    public Duration delegationDelay() {
        return duration(OptionDefinitions.DELEGATION_DELAY);
    }

    /** How long a job may wait in another cell before it is recalled. */
    public Duration recallTimeout() {
        return duration(OptionDefinitions.RECALL_TIMEOUT);
    }

    /** The back-off before a job that returned from its first delegation is delegated again. */
    public Duration delegationBackoff() {
        return duration(OptionDefinitions.DELEGATION_BACKOFF);
    }

    /** How often a job may be delegated. */
    public int maxDelegationsPerJob() {
        return count(OptionDefinitions.MAX_DELEGATIONS_PER_JOB);
    }

    /** How many unfinished jobs of other cells are accepted. */
    public int maxInboundJobs() {
        return count(OptionDefinitions.MAX_INBOUND_JOBS);
    }
}
