package org.dunespindle.sim;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import org.dunespindle.protocol.TaskId;

/** The execution of tasks in a simulated cluster: members of a gang start and complete together, and completed tasks are recorded. */
final class TaskRuns {
    private final SimulatedCluster cluster;

    TaskRuns(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    boolean isGang(TaskId task) {
        return cluster.jobs.get(task.job()).isGang();
    }

    private List<FakeWorker.Task> members(FakeWorker.Task member) {
        return cluster.invariants.live().stream()
                .filter(t -> t.task.job().equals(member.task.job()) && t.attempt == member.attempt)
                .toList();
    }

    boolean isGangComplete(FakeWorker.Task member) {
        return members(member).stream().map(t -> t.task.index()).distinct().count()
                == cluster.jobs.get(member.task.job()).tasks();
    }

    boolean isGangIntact(FakeWorker.Task member) {
        return isGangComplete(member)
                && members(member).stream()
                        .noneMatch(t -> cluster.workers.containsKey(t.host())
                                && cluster.workers.get(t.host()).hangNoticed());
    }

    void startGang(FakeWorker.Task member) {
        Duration end = cluster.sim
                .now()
                .plusSeconds(cluster.checkpointTime(member.task).isZero() ? 5 : 25);
        members(member).forEach(t -> {
            t.phase = "running";
            t.endsAt = end;
        });
    }

    void finished(FakeWorker.Task member) {
        List<FakeWorker.Task> all = isGang(member.task) ? members(member) : List.of(member);
        if (all.stream()
                .anyMatch(t -> cluster.workers.containsKey(t.host())
                        && cluster.workers.get(t.host()).isHung())) {
            return; // a gang makes no progress while a machine of a member hangs
        }
        all.forEach(t -> {
            cluster.done.computeIfAbsent(t.task.job(), j -> new HashSet<>()).add(t.task.index());
            cluster.environment.watcher().finished(cluster, t);
            t.exit("done");
        });
        String id = member.task.job();
        if (cluster.done.get(id).size() == cluster.jobs.get(id).tasks()) {
            cluster.completed.putIfAbsent(id, cluster.sim.now());
            if (cluster.requestsAtCompletion) {
                cluster.sim.after(cluster.sim.random.nextInt(300), () -> cluster.resubmit(id));
                cluster.sim.after(cluster.sim.random.nextInt(300), () -> cluster.pollJob(id));
            }
        }
        if (cluster.done.get(id).size() == cluster.jobs.get(id).tasks()
                && cluster.cancelAtCompletionRate > 0
                && cluster.sim.random.nextDouble() < cluster.cancelAtCompletionRate) {
            cluster.recordEvent("cancelled at completion");
            cluster.sim.after(cluster.sim.random.nextInt(5), () -> cluster.cancel(id));
        }
    }
}
