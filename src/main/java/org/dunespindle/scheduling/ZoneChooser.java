package org.dunespindle.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** Chooses a zone for jobs whose tasks must all be in one. */
final class ZoneChooser {
    /** Room for more tasks than this on one machine makes no difference. */
    private static final int MOST_COUNTED = 64;

    private static final double FREE_NOW = 3;
    private static final double FREED = 2;
    private static final double IMAGE_FOR_ALL = 1.5;
    private static final double IMAGE_FOR_SOME = 0.1;
    private static final double REFUSED_TASK = 0.5;
    private static final double REFUSED = 0.1;
    private final PlanState state;

    /** How many tasks a zone has room for. */
    private static final class Room {
        int now;
        int freed;
        int booting;
        int withImage;
    }

    ZoneChooser(PlanState state) {
        this.state = state;
    }

    /** The rules for a job's zones, with a zone chosen if it needs a single one and is in none yet. */
    ZoneRules rules(JobRecord job) {
        Map<String, Integer> taken = state.zonesTaken(job);
        boolean choose = job.submission().sameZone() && job.submission().zone().isEmpty() && taken.isEmpty();
        return new ZoneRules(job.submission(), taken, choose ? best(job, job.unplacedCount()) : Optional.empty());
    }

    /** The rules for a job of which one task leaves its place. */
    ZoneRules rulesWithout(JobRecord job, Allocation leaving) {
        Map<String, Integer> taken = state.zonesTaken(job);
        MachinePool pool = state.snapshot().pools().get(leaving.machineId());
        if (pool != null) {
            taken.computeIfPresent(pool.zone(), (zone, count) -> count > 1 ? count - 1 : null);
        }
        return new ZoneRules(job.submission(), taken, Optional.empty());
    }

    /** The zone that serves most of the job now, then by lower work giving way, then soon. */
    private Optional<String> best(JobRecord job, int missing) {
        String best = null;
        double bestScore = 0;
        for (Map.Entry<String, Room> zone : new TreeMap<>(rooms(job, missing)).entrySet()) {
            double score = score(zone.getKey(), zone.getValue(), missing);
            if (score > bestScore) {
                best = zone.getKey();
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private Map<String, Room> rooms(JobRecord job, int missing) {
        Submission spec = job.submission();
        int most = Math.min(MOST_COUNTED, missing);
        var rooms = new HashMap<String, Room>();
        for (MachineCapacity machine : state.candidates(spec)) {
            int fits = Planner.fitCount(spec.perTask(), machine.free(), most);
            Room room = rooms.computeIfAbsent(machine.host().zone(), z -> new Room());
            if (!machine.host().up()) {
                room.booting += fits;
                continue;
            }
            int freed = machine.canBeFreed() ? Planner.fitCount(spec.perTask(), machine.freeFor(job), most) - fits : 0;
            room.now += fits;
            room.freed += freed;
            room.withImage += machine.hasImage(spec.image()) ? fits + freed : 0;
        }
        return rooms;
    }

    private double score(String zone, Room room, int missing) {
        int now = Math.min(missing, room.now);
        int freed = Math.min(missing - now, room.freed);
        int soon = Math.min(missing - now - freed, room.booting);
        double perImage = room.withImage >= missing ? IMAGE_FOR_ALL : IMAGE_FOR_SOME;
        double score = FREE_NOW * now + FREED * freed + soon + perImage * Math.min(missing, room.withImage);
        for (MachinePool pool : state.snapshot().refused()) {
            if (pool.zone().equals(zone) && !pool.spot()) {
                score -= REFUSED_TASK * (missing - now - freed - soon) + REFUSED;
            }
        }
        return score;
    }
}
