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
            "first_hold_timer_s", 5, 3600, 60, "how long a gang's placement may take from its first placeholder on");
    static final OptionDefinition IDLE_TIMEOUT = decimal(
            "idle_return_s",
            0,
            86_400,
            25,
            "how long an ordinary machine may idle before it is given back, in a fleet of up to 30; less in a larger one,"
                    + " by the square root of its size, down to 8 s");
    static final OptionDefinition SPOT_IDLE_TIMEOUT =
            decimal("idle_spot_return_s", 0, 86_400, 60, "the same for spot machines");
    static final OptionDefinition FAILURE_TIMEOUT = new OptionDefinition(
            "silent_return_s",
            OptionDefinition.NumberType.DECIMAL,
            3,
            3600,
            OptionDefinitions::defaultFailureTimeout,
            "silence after which a machine is given back and its tasks start elsewhere");
    static final OptionDefinition QUARANTINE_FAILURES = whole(
            "quarantine_errors",
            1,
            100,
            2,
            "failures in a row, of different jobs, after which a machine is given back");
    static final OptionDefinition BOOT_TIMEOUT_MULTIPLE = whole(
            "boot_patience",
            1,
            20,
            3,
            "multiple of the boot time after which a machine that never reported is given back");
    static final OptionDefinition SPARE_JOBS = whole(
            "spare_jobs", 0, 10, 1, "typical next jobs of each class with a wait aim that spare room is kept for");
    static final OptionDefinition MAX_BORROWED_MACHINES = whole(
            "borrowed_machines",
            0,
            100_000,
            100_000,
            "machines of other controllers that the leader may borrow at a time for gangs");
    static final OptionDefinition BORROWED_MACHINE_IDLE_TIMEOUT =
            decimal("lent_s", 0, 86_400, 60, "how long the leader keeps a borrowed machine after the last gang on it");

    // Options of the federation; they have no effect without one.
    static final OptionDefinition DELEGATION_DELAY = decimal(
            "spill_after_s", 1, 86_400, 30, "how long a job waits for room before other cells are asked to take it");
    static final OptionDefinition RECALL_TIMEOUT = decimal(
            "recall_after_s",
            5,
            86_400,
            60,
            "how long a job may wait in another cell, or for its answer, before it is wanted back");
    static final OptionDefinition DELEGATION_BACKOFF = decimal(
            "spill_pause_s",
            1,
            3600,
            30,
            "how long a job that came back is not given away again; twice as long after each further time");
    static final OptionDefinition MAX_DELEGATIONS_PER_JOB = whole(
            "most_transfers", 1, 20, 3, "how often a job may be given away before it waits for room at home for good");
    static final OptionDefinition MAX_INBOUND_JOBS =
            whole("most_visitors", 0, 10_000, 200, "unfinished jobs of other cells that are taken in");

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
