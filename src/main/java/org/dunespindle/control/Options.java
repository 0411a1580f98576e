package org.dunespindle.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;

/**
 * The values of the operators' options. They are kept in the state service as plain numbers; an option that is not set there has
 * its default value.
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

    /** The options while none is set. */
    public static Options defaults(Duration workerLease) {
        return new Options(Map.of(), workerLease);
    }

    /** The options as stored; a stored value that is no longer in range counts as not set. */
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

    /** What is wrong with a value for an option, naming what is allowed. */
    public static Optional<String> validate(String name, JsonNode value) {
        return OptionDefinitions.find(name)
                .map(option -> option.validate(value))
                .orElseGet(() -> Optional.of("unknown option " + name + "; there are " + OptionDefinitions.names()));
    }

    /** All options with value, range, default and description. */
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

    /** How long a gang's placement may take from its first placeholder on. */
    public Duration gangPlacementTimeout() {
        return duration(OptionDefinitions.GANG_PLACEMENT_TIMEOUT);
    }

    /** How long an ordinary or spot machine may idle in a small fleet before it is terminated. */
    public Duration idleTimeout(boolean spot) {
        return duration(spot ? OptionDefinitions.SPOT_IDLE_TIMEOUT : OptionDefinitions.IDLE_TIMEOUT);
    }

    /** Silence after which a machine is terminated. */
    public Duration silenceTimeout() {
        return duration(OptionDefinitions.SILENCE_TIMEOUT);
    }

    /** Failures of different jobs after which a machine is quarantined. */
    public int quarantineFailures() {
        return count(OptionDefinitions.QUARANTINE_FAILURES);
    }

    /** Multiple of the boot time after which a machine that has never sent a heartbeat is terminated. */
    public int bootTimeoutMultiple() {
        return count(OptionDefinitions.BOOT_TIMEOUT_MULTIPLE);
    }

    /** Typical next jobs of each class that capacity is held for. */
    public int spareJobs() {
        return count(OptionDefinitions.SPARE_JOBS);
    }

    /** How many machines the leader may borrow at a time. */
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

    /** How long a job that was recalled for the first time is not delegated again. */
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
