package org.dunespindle.control;

import static org.dunespindle.control.OptionDefinition.decimal;
import static org.dunespindle.control.OptionDefinition.whole;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** The table of the options that operators may set. */
final class OptionDefinitions {
    static final OptionDefinition GANG_PLACEMENT_TIMEOUT = decimal(
            "first_hold_timer_s", 5, 3600, 60, "time limit of a gang's placement, from its first placeholder on");
    static final OptionDefinition IDLE_TIMEOUT = decimal(
            "idle_return_s",
            0,
            86_400,
            25,
            "idle time after which an on-demand machine is terminated, in a fleet of up to 30 machines; shorter in a larger"
                    + " fleet, by the square root of its size, down to 8 s");
    static final OptionDefinition SPOT_IDLE_TIMEOUT = decimal(
            "idle_spot_return_s",
            0,
            86_400,
            60,
            "idle time after which a spot machine is terminated, with the same dependence on the fleet size");
    static final OptionDefinition FAILURE_TIMEOUT = new OptionDefinition(
            "silent_return_s",
            OptionDefinition.NumberType.DECIMAL,
            3,
            3600,
            OptionDefinitions::defaultFailureTimeout,
            "time without a sign of life after which a machine is terminated and its tasks start elsewhere");
    static final OptionDefinition QUARANTINE_FAILURES = whole(
            "quarantine_errors",
            1,
            100,
            2,
            "number of failures in a row, of different jobs, after which a machine is terminated");
    static final OptionDefinition BOOT_TIMEOUT_MULTIPLE = whole(
            "boot_patience",
            1,
            20,
            3,
            "multiple of the boot time after which a machine that never sent a heartbeat is terminated");
    static final OptionDefinition SPARE_JOBS = whole(
            "spare_jobs",
            0,
            10,
            1,
            "number of typical next jobs that spare capacity is kept for, of each class with a wait-time objective");
    static final OptionDefinition MAX_BORROWED_MACHINES = whole(
            "borrowed_machines",
            0,
            100_000,
            100_000,
            "number of machines of other controllers that the leader may borrow at the same time for gangs");
    static final OptionDefinition BORROWED_MACHINE_IDLE_TIMEOUT = decimal(
            "lent_s",
            0,
            86_400,
            60,
            "how long the leader keeps a borrowed machine after the end of the last gang on it");

    // Options of the federation; they have no effect without one.
    static final OptionDefinition DELEGATION_DELAY = decimal(
            "spill_after_s", 1, 86_400, 30, "how long a job waits for capacity before it is offered to other cells");
    static final OptionDefinition RECALL_TIMEOUT = decimal(
            "recall_after_s",
            5,
            86_400,
            60,
            "how long a job may wait in another cell, or for the answer of that cell, before it is recalled");
    static final OptionDefinition DELEGATION_BACKOFF = decimal(
            "spill_pause_s",
            1,
            3600,
            30,
            "back-off before a returned job is delegated again; doubled after each further delegation");
    static final OptionDefinition MAX_DELEGATIONS_PER_JOB = whole(
            "most_transfers",
            1,
            20,
            3,
            "number of times a job may be delegated; after that it waits for capacity in its origin cell");
    static final OptionDefinition MAX_INBOUND_JOBS =
            whole("most_visitors", 0, 10_000, 200, "limit of the unfinished jobs accepted from other cells");

    /** All options, in the order of the administration API's list. */
    static final List<OptionDefinition> ALL = List.of(
            GANG_PLACEMENT_TIMEOUT,
            IDLE_TIMEOUT,
            SPOT_IDLE_TIMEOUT,
            FAILURE_TIMEOUT,
            QUARANTINE_FAILURES,
            BOOT_TIMEOUT_MULTIPLE,
            SPARE_JOBS,
            MAX_BORROWED_MACHINES,
            BORROWED_MACHINE_IDLE_TIMEOUT,
            DELEGATION_DELAY,
            RECALL_TIMEOUT,
            DELEGATION_BACKOFF,
            MAX_DELEGATIONS_PER_JOB,
            MAX_INBOUND_JOBS);

    private static final Duration MAX_DEFAULT_FAILURE_TIMEOUT = Duration.ofSeconds(16);

    private OptionDefinitions() {}

    /** The default is the workers' lease, up to a maximum. */
    private static double defaultFailureTimeout(Duration workerLease) {
        return Math.min(workerLease.toSeconds(), MAX_DEFAULT_FAILURE_TIMEOUT.toSeconds());
    }

    /** The option of this name. */
    static Optional<OptionDefinition> find(String name) {
        return ALL.stream().filter(option -> option.name().equals(name)).findFirst();
    }

    /** The names of all options, separated by commas. */
    static String names() {
        return ALL.stream().map(OptionDefinition::name).collect(Collectors.joining(", "));
    }
}
