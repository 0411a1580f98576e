package org.dunespindle.worker;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.storage.MachineRecord;

/**
 * Finds zones and controllers with outages. When most machines of a zone or of an owner send no heartbeats at the same time, a
 * network partition is more likely than the failure of all of these machines.
 */
final class GroupOutageDetector {
    private static final int MIN_MACHINES_FOR_OUTAGE = 4;
    /** After an outage, the heartbeats of some machines resume later than those of others. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(5);

    private final ControllerContext context;
    private final Map<Group, Duration> lastOutageAt = new HashMap<>();

    private enum GroupKind {
        ZONE,
        OWNER
    }

    private record Group(GroupKind kind, String name) {}

    private static final class MachineCount {
        private int total;
        private int unresponsive;

        void add(boolean isUnresponsive) {
            total++;
            unresponsive += isUnresponsive ? 1 : 0;
        }

        boolean isOutage() {
            return total >= MIN_MACHINES_FOR_OUTAGE && unresponsive * 2 > total;
        }
    }

    GroupOutageDetector(ControllerContext context) {
        this.context = context;
    }

    /** Discards all outages. */
    void reset() {
        lastOutageAt.clear();
    }

    /**
     * Counts the unresponsive machines of each zone and owner, and records the outages.
     *
     * @param leadingSince when this controller became the leader: missing heartbeats before that do not count
     * @param lastSeen when a machine last gave a sign of life
     * @param isPastBootTime whether a machine is past its boot time: one that was never seen counts as unresponsive only then
     */
    void update(
            Duration leadingSince,
            Function<MachineRecord, Optional<Duration>> lastSeen,
            Predicate<MachineRecord> isPastBootTime) {
        Duration timeout = WorkerReachability.silenceLimit(context.settings().workers());
        var counts = new HashMap<Group, MachineCount>();
        for (MachineRecord machine : context.replica().machines().values()) {
            Optional<Duration> seenAt = lastSeen.apply(machine);
            if (machine.draining() || (seenAt.isEmpty() && !isPastBootTime.test(machine))) {
                continue;
            }
            Duration sinceLastSeen = context.pauseDetector().observedTimeSince(seenAt.orElse(leadingSince));
            boolean isUnresponsive = sinceLastSeen.compareTo(timeout) > 0;
            groupsOf(machine)
                    .forEach(group -> counts.computeIfAbsent(group, key -> new MachineCount())
                            .add(isUnresponsive));
        }
        Duration now = context.timeSource().now();
        Duration maxAge = timeout.plus(RECOVERY_TIME);
        lastOutageAt.values().removeIf(outageAt -> now.minus(outageAt).compareTo(maxAge) > 0);
        counts.forEach((group, count) -> {
            if (count.isOutage()) {
                lastOutageAt.put(group, now);
            }
        });
    }

    /** Whether a machine's zone or owner has an outage, or had one until a few seconds ago. */
    boolean isAffected(MachineRecord machine) {
        return groupsOf(machine).stream().anyMatch(lastOutageAt::containsKey);
    }

    private static List<Group> groupsOf(MachineRecord machine) {
        return List.of(new Group(GroupKind.ZONE, machine.zone()), new Group(GroupKind.OWNER, machine.owner()));
    }
}
