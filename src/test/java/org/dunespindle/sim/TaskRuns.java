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

    private List<FakeWorker.Task> members(FakeWorker.Task one) {
        return cluster.invariants.live().stream()
                .filter(t -> t.task.job().equals(one.task.job()) && t.attempt == one.attempt)
                .toList();
    }

    boolean gangComplete(FakeWorker.Task one) {
        return members(one).stream().map(t -> t.task.index()).distinct().count()
                == cluster.jobs.get(one.task.job()).tasks();
    }

    boolean gangIntact(FakeWorker.Task one) {
        return gangComplete(one)
                && members(one).stream()
                        .noneMatch(t -> cluster.workers.containsKey(t.host())
                                && cluster.workers.get(t.host()).hangNoticed());
    }

    void startGang(FakeWorker.Task one) {
        Duration end =
                cluster.sim.now().plusSeconds(cluster.checkpointTime(one.task).isZero() ? 5 : 25);
        members(one).forEach(t -> {
            t.phase = "running";
            t.endsAt = end;
        });
    }

    void finished(FakeWorker.Task one) {
        List<FakeWorker.Task> all = isGang(one.task) ? members(one) : List.of(one);
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
        String id = one.task.job();
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
