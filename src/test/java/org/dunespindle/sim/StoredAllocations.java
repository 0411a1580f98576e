package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;

/**
 * Checks the allocations of each team at every revision of the store. A stored allocation beyond the limit is a violation even if its
 * tasks never reach a machine, and so are a team record whose bound is below the stored use when it is written, and a release of a task
 * that is still on its machine.
 */
final class StoredAllocations implements FakeStateStore.Listener {
    private static final double ROUNDING = 1e-6;
    private final SimulatedCluster cluster;
    private final ReleasedAllocations releasedAllocations;
    private StateReplica replica;
    /** The highest use beyond its limit seen so far for each team; only a new maximum is reported. */
    private final Map<String, Double> excess = new TreeMap<>();

    StoredAllocations(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.releasedAllocations = new ReleasedAllocations(cluster);
        this.replica = emptyReplica();
    }

    private StateReplica emptyReplica() {
        return new StateReplica(null, cluster.sim.new SimulatedProcess(), Duration.ZERO, () -> {});
    }

    @Override
    public void applied(long revision, Map<String, Optional<JsonNode>> changes) {
        var transaction = new Transaction();
        boolean changesJobs = false;
        for (var change : changes.entrySet()) {
            change.getValue()
                    .ifPresentOrElse(
                            v -> transaction.write(change.getKey(), v), () -> transaction.remove(change.getKey()));
            changesJobs |=
                    change.getKey().startsWith(Keys.JOB) || change.getKey().startsWith(Keys.CHUNK);
        }
        List<JobRecord> changedJobs = changes.keySet().stream()
                .filter(key -> key.startsWith(Keys.JOB))
                .flatMap(key -> replica.retainedJob(key.substring(Keys.JOB.length())).stream())
                .toList();
        replica.applyCommitted(transaction, revision);
        changedJobs.forEach(before -> releasedAllocations.check(before, replica.retainedJob(before.id()), revision));
        if (changesJobs) {
            checkLimits(revision);
        }
        changes.forEach((key, value) -> {
            if (key.startsWith(Keys.TEAM) && value.isPresent()) {
                checkBound(key.substring(Keys.TEAM.length()), value.get(), revision);
            }
        });
    }

    @Override
    public void restore(Map<String, FakeStateStore.Row> rows) {
        replica = emptyReplica();
        rows.forEach((key, row) -> replica.applyCommitted(new Transaction().write(key, row.value()), row.stamp()));
    }

    private void checkBound(String team, JsonNode ledger, long revision) {
        double stored = gpus().getOrDefault(team, 0.0);
        double bound = ledger.path("gpus").asDouble();
        if (stored > bound + ROUNDING) {
            cluster.violations.add(
                    "stored bound: team record of %s allows %.0f, but %.0f are allocated at revision %d, %d ms"
                            .formatted(
                                    team,
                                    bound,
                                    stored,
                                    revision,
                                    cluster.sim.now().toMillis()));
        }
    }

    private void checkLimits(long revision) {
        gpus().forEach((team, gpus) -> {
            int limit = cluster.shape.limits().getOrDefault(team, Integer.MAX_VALUE);
            if (gpus > limit && gpus > excess.getOrDefault(team, 0.0)) {
                excess.put(team, gpus);
                cluster.violations.add("stored quota: %s is allocated %.0f with a limit of %d at revision %d, %d ms"
                        .formatted(
                                team, gpus, limit, revision, cluster.sim.now().toMillis()));
            }
        });
    }

    private Map<String, Double> gpus() {
        var sums = new TreeMap<String, Double>();
        for (JobRecord job : replica.activeJobs()) {
            sums.merge(
                    job.submission().team(),
                    job.submission().perTask().gpus() * job.allocations().size(),
                    Double::sum);
        }
        return sums;
    }
}
