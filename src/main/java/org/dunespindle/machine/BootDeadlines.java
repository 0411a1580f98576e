package org.dunespindle.machine;

import java.time.Duration;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/** Boot deadlines of rented machines, as multiples of the boot time that the catalog states for their type. */
final class BootDeadlines {
    private static final Duration DEFAULT_BOOT_TIME = Duration.ofSeconds(60);
    /** In tenths of the boot time. Most machines are up by then; no work is planned on those that are not. */
    private static final int BOOT_TIME_LIMIT_TENTHS = 16;

    private final ControllerContext context;
    private final MachineCatalog catalog;

    BootDeadlines(ControllerContext context, MachineCatalog catalog) {
        this.context = context;
        this.catalog = catalog;
    }

    /** Whether a machine is still within its boot time limit, so that work may be planned on it. */
    boolean isWithinBootTime(MachineRecord machine) {
        return age(machine).compareTo(bootTimeLimit(machine)) < 0;
    }

    /** Whether a machine has exceeded its boot time limit. */
    boolean isPastBootTime(MachineRecord machine) {
        return age(machine).compareTo(bootTimeLimit(machine)) > 0;
    }

    /** Whether the time since a machine was rented exceeds a multiple of its boot time. */
    boolean exceeds(MachineRecord machine, long multipleOfBootTime) {
        return age(machine).compareTo(Durations.multiply(bootTime(machine), multipleOfBootTime)) > 0;
    }

    private Duration age(MachineRecord machine) {
        return Duration.between(machine.rentedAt(), context.timeSource().wallTime());
    }

    private Duration bootTimeLimit(MachineRecord machine) {
        return Durations.fraction(bootTime(machine), BOOT_TIME_LIMIT_TENTHS, 10);
    }

    private Duration bootTime(MachineRecord machine) {
        return catalog.type(machine.type()).map(MachineType::bootTime).orElse(DEFAULT_BOOT_TIME);
    }
}
