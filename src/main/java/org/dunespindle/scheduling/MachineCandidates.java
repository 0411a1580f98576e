package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.Submission;

/**
 * Finds the machines that a job may use, in the order of the snapshot. Each result is cached for all jobs with equal requirements, since most
 * jobs share theirs with others.
 */
final class MachineCandidates {
    private final List<MachineCapacity> machines;
    private final Map<String, MachineCapacity> byId;
    private final Map<Eligibility, List<MachineCapacity>> eligible = new HashMap<>();
    private final Map<ImageEligibility, List<MachineCapacity>> eligibleWithImage = new HashMap<>();
    /** Machines by image, filled on first use. */
    private final Map<String, List<MachineCapacity>> byImage = new HashMap<>();

    /** A job's requirements for a machine, apart from capacity and zone rules. */
    private record Eligibility(boolean spot, Optional<String> zone, Optional<List<String>> types) {
        static Eligibility of(Submission job) {
            return new Eligibility(job.spot(), job.zone(), job.types());
        }

        boolean includes(MachineSnapshot machine) {
            boolean spotAllowed = spot || !machine.spot();
            boolean zoneAllowed = zone.isEmpty() || zone.get().equals(machine.zone());
            return spotAllowed && zoneAllowed && (types.isEmpty() || types.get().contains(machine.type()));
        }
    }

    private record ImageEligibility(Eligibility eligibility, String image) {}

    MachineCandidates(List<MachineSnapshot> snapshots) {
        machines = new ArrayList<>(snapshots.size());
        byId = new HashMap<>(snapshots.size() * 2);
        for (MachineSnapshot snapshot : snapshots) {
            var machine = new MachineCapacity(snapshot);
            machines.add(machine);
            byId.put(snapshot.id(), machine);
        }
    }

    /** A machine by its id; empty if the snapshot does not contain it. */
    Optional<MachineCapacity> machine(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Machines that a job may use, before its zone rules are applied. */
    List<MachineCapacity> candidates(Submission job) {
        var eligibility = Eligibility.of(job);
        List<MachineCapacity> known = eligible.get(eligibility);
        if (known == null) {
            known = filter(machines, eligibility);
            eligible.put(eligibility, known);
        }
        return known;
    }

    /** The candidates of a job that have its image. */
    List<MachineCapacity> candidatesWithImage(Submission job) {
        var key = new ImageEligibility(Eligibility.of(job), job.image());
        List<MachineCapacity> known = eligibleWithImage.get(key);
        if (known == null) {
            known = filter(byImage().getOrDefault(job.image(), List.of()), key.eligibility);
            eligibleWithImage.put(key, known);
        }
        return known;
    }

    private static List<MachineCapacity> filter(List<MachineCapacity> machines, Eligibility eligibility) {
        var filtered = new ArrayList<MachineCapacity>();
        for (MachineCapacity machine : machines) {
            if (eligibility.includes(machine.snapshot())) {
                filtered.add(machine);
            }
        }
        return filtered;
    }

    private Map<String, List<MachineCapacity>> byImage() {
        if (byImage.isEmpty()) {
            for (MachineCapacity machine : machines) {
                for (String image : machine.snapshot().images()) {
                    byImage.computeIfAbsent(image, key -> new ArrayList<>()).add(machine);
                }
            }
        }
        return byImage;
    }
}
