package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/** Where a job's tasks may still go, given where they are: one zone for all, or at most half in each. */
final class ZoneRules {
    private final boolean sameZone;
    private final int mostPerZone;
    private final Map<String, Integer> taken;
    private Optional<String> only;

    /** Rules that only look at the zone which a job names, wherever its tasks are. */
    ZoneRules(Submission job) {
        this.sameZone = false;
        this.mostPerZone = Integer.MAX_VALUE;
        this.taken = new HashMap<>();
        this.only = job.zone();
    }

    /**
     * Creates the rules of a job.
     *
     * @param taken how many of its tasks are in each zone
     * @param chosen the zone for a job that needs one for all and is in none yet; empty for the first that is taken
     */
    ZoneRules(Submission job, Map<String, Integer> taken, Optional<String> chosen) {
        this.sameZone = job.sameZone();
        this.mostPerZone = job.spread() ? (job.tasks() + 1) / 2 : Integer.MAX_VALUE;
        this.taken = new HashMap<>(taken);
        this.only = job.zone();
        if (sameZone && only.isEmpty()) {
            only = taken.isEmpty() ? chosen : taken.keySet().stream().findFirst();
        }
    }

    /** The only zone that may still be used, if there is one. */
    Optional<String> only() {
        return only;
    }

    boolean allows(MachineSnapshot machine) {
        boolean rightZone = only.isEmpty() || only.get().equals(machine.zone());
        return rightZone && (mostPerZone == Integer.MAX_VALUE || taken.getOrDefault(machine.zone(), 0) < mostPerZone);
    }

    /** Notes that one more task goes to a zone. */
    void add(String zone) {
        taken.merge(zone, 1, Integer::sum);
        if (sameZone && only.isEmpty()) {
            only = Optional.of(zone);
        }
    }
}
