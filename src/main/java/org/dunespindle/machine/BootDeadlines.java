package org.dunespindle.machine;

import java.time.Duration;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.Durations;

/** How long machines that were rented may take to boot. */
final class BootDeadlines {
    private static final Duration DEFAULT_BOOT_TIME = Duration.ofSeconds(60);
    /** In tenths of the boot time. Most machines are up by then; nothing is planned any more on the others. */
    private static final int LATE_BOOT_TENTHS = 16;

    private final ControllerContext context;
    private final MachineCatalog catalog;

    BootDeadlines(ControllerContext context, MachineCatalog catalog) {
        this.context = context;
        this.catalog = catalog;
    }

    /** Whether a machine was rented so short a time ago that it is expected to come up. */
    boolean isWithinBootTime(MachineRecord machine) {
        return age(machine).compareTo(lateBootAge(machine)) < 0;
    }

    /** Whether a machine should long have come up. */
    boolean isPastBootTime(MachineRecord machine) {
        return age(machine).compareTo(lateBootAge(machine)) > 0;
    }

    /** Whether more than a multiple of its boot time has passed since a machine was rented. */
    boolean exceeds(MachineRecord machine, long multipleOfBootTime) {
        return age(machine).compareTo(Durations.multiply(bootTime(machine), multipleOfBootTime)) > 0;
    }

    private Duration age(MachineRecord machine) {
        return Duration.between(machine.rentedAt(), context.timeSource().wallTime());
    }

    private Duration lateBootAge(MachineRecord machine) {
        return Durations.fraction(bootTime(machine), LATE_BOOT_TENTHS, 10);
    }

    private Duration bootTime(MachineRecord machine) {
        return catalog.type(machine.type()).map(MachineType::boot).orElse(DEFAULT_BOOT_TIME);
    }
}
