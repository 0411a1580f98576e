package org.dunespindle.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.protocol.Submission;

/** Checks the scheduler's invariants against the tasks on the workers of a simulated cluster, and the criteria for a whole run. */
final class InvariantChecker {
    private static final Duration MAX_WAIT = Duration.ofSeconds(90);
    private static final Duration MAX_START_DELAY_OF_LARGEST = Duration.ofMinutes(4);
    private final SimulatedCluster cluster;
    /**
     * Tasks that started after the cancellation of their job had been confirmed, with the details that decide whether this was avoidable.
     */
    final List<LateStart> lateStarts = new ArrayList<>();

    private final Map<String, Duration> waitingSince = new HashMap<>();

    /**
     * A task that started after the cancellation of its job had been confirmed to the user.
     *
     * @param commandedLater whether the start command, too, arrived after the confirmation
     * @param after time between the confirmation and the start
     * @param ownerFrozen whether the controller that owns the machine, the only one that may stop the task, is frozen
     */
    record LateStart(String task, boolean commandedLater, Duration after, boolean ownerFrozen) {}

    InvariantChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns all tasks that hold a place on a live machine. */
    List<FakeWorker.Task> live() {
        var list = new ArrayList<FakeWorker.Task>();
        cluster.workers.values().stream()
                .filter(w -> !w.dead)
                .forEach(w -> w.tasks().forEach(t -> {
                    if (t.onMachine()) {
                        list.add(t);
                    }
                }));
        return list;
    }

    /** Checks that no team exceeds its limit and that no task of a job runs longer than allowed after its cancellation. */
    void checkLimitsAndCancelledTasks() {
        var use = new HashMap<String, Integer>();
        for (FakeWorker.Task t : live()) {
            use.merge(cluster.jobs.get(t.task.job()).team(), 1, Integer::sum);
            Duration c = cluster.cancelled.get(t.task.job());
            if (c != null && cluster.sim.now().minus(c).compareTo(SimulatedCluster.CANCEL_TIMEOUT) > 0) {
                cluster.violations.add("ran_cancelled: " + t.task);
            }
        }
        if (cluster.maxMachines == 7
                && cluster.shape.limits().entrySet().stream()
                        .anyMatch(limit -> use.getOrDefault(limit.getKey(), 0) > limit.getValue())) {
            cluster.violations.add("quota: " + use);
        }
    }

    /** Checks the accelerator limits of teams. Large clusters set other limits and are skipped. */
    void checkAcceleratorLimits() {
        if (cluster.shape.large()) {
            return;
        }
        var use = new HashMap<String, Double>();
        for (FakeWorker.Task t : live()) {
            Submission job = cluster.jobs.get(t.task.job());
            use.merge(job.team(), job.perTask().gpus(), Double::sum);
        }
        if (cluster.shape.limits().entrySet().stream()
                .anyMatch(limit -> use.getOrDefault(limit.getKey(), 0.0) > limit.getValue())) {
            cluster.violations.add("quota: " + use);
        }
    }

    /** Checks that a starting task runs nowhere else and that its placement satisfies the job's constraints. */
    void checkStart(FakeWorker worker, FakeWorker.Task started) {
        Submission job = cluster.jobs.get(started.task.job());
        var zones = new HashSet<String>();
        for (FakeWorker.Task t : live()) {
            if (t != started && t.task.equals(started.task)) {
                cluster.violations.add("ran_twice: " + t.task + " on " + t.host() + " and " + started.host());
            }
            if (t.task.job().equals(started.task.job()) && cluster.workers.containsKey(t.host())) {
                zones.add(cluster.workers.get(t.host()).zone);
            }
        }
        long inZone = live().stream()
                .filter(t -> t.task.job().equals(started.task.job())
                        && cluster.workers.containsKey(t.host())
                        && cluster.workers.get(t.host()).zone.equals(worker.zone))
                .count();
        boolean tooMany = job.spread() && inZone > (job.tasks() + 1) / 2;
        boolean otherZone = job.zone().filter(z -> !z.equals(worker.zone)).isPresent();
        if ((job.sameZone() && zones.size() > 1) || (worker.spot && !job.spot()) || tooMany || otherZone) {
            cluster.violations.add("wrong_place: " + started.task);
        }
        cluster.startedAt.putIfAbsent(started.task.job(), cluster.sim.now());
        cluster.environment.watcher().started(cluster, started);
        if (cluster.cancelled.containsKey(started.task.job())) {
            cluster.startsAfterCancel.add(started.task.toString());
            Duration confirmedAt = cluster.cancelled.get(started.task.job());
            lateStarts.add(new LateStart(
                    started.task.toString(),
                    started.commandedAt.compareTo(confirmedAt) > 0,
                    cluster.sim.now().minus(confirmedAt),
                    cluster.isOwnerFrozen(worker)));
        }
    }

    /** Checks, once all faults are over, that no job waits long while a suitable machine has free slots and its team is below its limit. */
    void checkWaits() {
        if (!cluster.faultsOver || cluster.maxMachines != 7) {
            return;
        }
        List<FakeWorker.Task> live = live();
        for (Submission job : cluster.jobs.values()) {
            boolean isExempt = cluster.isOver(job.id())
                    || cluster.cancelRequested.contains(job.id())
                    || !cluster.reportedPhases.containsKey(job.id());
            int ended = cluster.done.getOrDefault(job.id(), Set.of()).size();
            long here = live.stream().filter(t -> t.task.job().equals(job.id())).count();
            boolean missing = job.isGang() ? here < job.tasks() : here + ended < job.tasks();
            long used = live.stream()
                    .filter(t -> cluster.jobs.get(t.task.job()).team().equals(job.team()))
                    .count();
            long needs = job.isGang() ? job.tasks() - here : 1;
            boolean underLimit =
                    used + needs <= cluster.shape.limits().getOrDefault(job.team(), SimulatedCluster.LIMIT_BLUE);
            if (isExempt || !missing || !underLimit || freeCapacity(job) < needs) {
                waitingSince.remove(job.id());
            } else if (cluster.sim
                            .now()
                            .minus(waitingSince.computeIfAbsent(job.id(), k -> cluster.sim.now()))
                            .compareTo(MAX_WAIT)
                    > 0) {
                cluster.violations.add("waits despite free capacity: " + job.id());
                waitingSince.remove(job.id());
            }
        }
    }

    /** Returns how many tasks of a job fit on the machines now, in a single zone if the job requires one. */
    private int freeCapacity(Submission job) {
        var perZone = new HashMap<String, Integer>();
        for (FakeWorker w : cluster.workers.values()) {
            boolean fits = !w.dead
                    && !w.cannotSend
                    && !w.cannotReceive
                    && w.interruptedAt == null
                    && (job.spot() || !w.spot)
                    && job.zone().map(w.zone::equals).orElse(true);
            if (fits) {
                perZone.merge(w.zone, SimulatedCluster.SLOTS - (int) w.occupiedSlots(), Integer::sum);
            }
        }
        return job.sameZone()
                ? perZone.values().stream().mapToInt(n -> n).max().orElse(0)
                : perZone.values().stream().mapToInt(n -> n).sum();
    }

    /**
     * Returns the criteria that the run failed: every controller knows every accepted job; of each job class, each team and the largest
     * jobs of each kind at least half are done; the largest jobs started in time; something ran at all.
     */
    List<String> failedCriteria() {
        var failures = new ArrayList<String>();
        for (String id : cluster.reportedPhases.keySet()) {
            for (int node = 0; node < 3; node++) {
                var answer = cluster.poll(node, id);
                if (!answer.isDone() || answer.join().status() != 200) {
                    failures.add("forgotten: " + id + " at n" + node);
                }
            }
        }
        var kept = cluster.jobs.values().stream()
                .filter(j -> cluster.reportedPhases.containsKey(j.id()) && !cluster.cancelRequested.contains(j.id()))
                .toList();
        var groups = new TreeMap<String, List<Submission>>();
        for (Submission j : kept) {
            groups.computeIfAbsent("class " + j.jobClass() + (j.isGang() ? " of gangs" : ""), k -> new ArrayList<>())
                    .add(j);
            groups.computeIfAbsent("team " + j.team(), k -> new ArrayList<>()).add(j);
        }
        for (boolean gang : new boolean[] {true, false}) {
            int largest = kept.stream()
                    .filter(j -> j.isGang() == gang)
                    .mapToInt(Submission::tasks)
                    .max()
                    .orElse(0);
            kept.stream()
                    .filter(j -> j.isGang() == gang && j.tasks() == largest)
                    .forEach(j -> groups.computeIfAbsent(
                                    "largest " + (gang ? "gangs" : "arrays"), k -> new ArrayList<>())
                            .add(j));
        }
        groups.forEach((name, members) -> {
            if (members.stream()
                                    .filter(j ->
                                            cluster.lastReportedPhase(j.id()).equals("done"))
                                    .count()
                            * 2
                    < members.size()) {
                failures.add("less than half done: " + name);
            }
            if (name.startsWith("largest")) {
                members.stream()
                        .filter(j -> !cluster.startedAt.containsKey(j.id())
                                || cluster.startedAt
                                                .get(j.id())
                                                .minus(cluster.submittedAt.get(j.id()))
                                                .compareTo(MAX_START_DELAY_OF_LARGEST)
                                        > 0)
                        .forEach(j -> failures.add(name + " started late: " + j.id()));
            }
        });
        if (cluster.startedAt.isEmpty()) {
            failures.add("nothing_ran");
        }
        return failures;
    }

    /** Returns the tasks on each live machine as text for debugging. */
    String dump() {
        var text = new StringBuilder("leader " + cluster.leader() + ":");
        cluster.alive().forEach(w -> {
            text.append(' ').append(w.id()).append(w.zone.charAt(0)).append(w.spot ? "s" : "");
            w.tasks()
                    .forEach(t -> text.append(' ')
                            .append(t.task)
                            .append('#')
                            .append(t.attempt)
                            .append(t.phase.charAt(0)));
        });
        return text.toString();
    }
}
