package org.dunespindle.controller;

import java.time.Duration;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.worker.HeartbeatHandler;
import org.dunespindle.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells a controller's load every few seconds, for whoever reads the log at debug. */
final class LoadReporter {
    private static final Logger LOG = LoggerFactory.getLogger(LoadReporter.class);
    private static final Duration TELL_EVERY = Duration.ofSeconds(10);
    private static final double MOST = 90;
    private final ControllerContext context;
    private final HeartbeatHandler heartbeatHandler;
    private final WorkerClient workerClient;
    private final CommitQueue commitQueue;
    private final StateStoreClient stateStore;
    private final Histogram rounds;
    private final Histogram plans;
    private Duration toldAt = Duration.ZERO;

    LoadReporter(
            ControllerContext context,
            HeartbeatHandler heartbeatHandler,
            WorkerClient workerClient,
            CommitQueue commitQueue,
            StateStoreClient stateStore,
            Histogram rounds,
            Histogram plans) {
        this.context = context;
        this.heartbeatHandler = heartbeatHandler;
        this.workerClient = workerClient;
        this.commitQueue = commitQueue;
        this.stateStore = stateStore;
        this.rounds = rounds;
        this.plans = plans;
    }

    /** Writes the log lines when they are due. */
    void tell() {
        Duration now = context.timeSource().now();
        if (!LOG.isDebugEnabled() || now.minus(toldAt).compareTo(TELL_EVERY) < 0) {
            return;
        }
        toldAt = now;
        LOG.debug("accelerators by class and phase: {}", acceleratorsByPhase());
        LOG.debug(
                "load: {} reports, {} calls, {} writes ({} wait, {} in vain), may write {}/s, {}",
                heartbeatHandler.heartbeatCount(),
                workerClient.calls(),
                commitQueue.committed(),
                commitQueue.waiting(),
                commitQueue.conflicts(),
                Math.round(stateStore.writes().perSecond()),
                commitQueue.kinds());
        LOG.debug(
                "pace: rounds {} (p90 {} ms), plans {} (p50 {} ms, p90 {} ms), state calls {} (p90 {} ms), own {} of {} machines",
                rounds.getTotalCount(),
                millis(rounds, MOST),
                plans.getTotalCount(),
                millis(plans, 50),
                millis(plans, MOST),
                stateStore.latency().getTotalCount(),
                millis(stateStore.latency(), MOST),
                ownMachines(),
                context.replica().machines().size());
    }

    private static long millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1000;
    }

    private long ownMachines() {
        return context.replica().machines().values().stream()
                .filter(context.membership()::owns)
                .count();
    }

    private TreeMap<String, Double> acceleratorsByPhase() {
        var byPhase = new TreeMap<String, Double>();
        for (MachineRecord machine : context.replica().machines().values()) {
            if (context.membership().owns(machine)) {
                context.workers()
                        .find(machine.id())
                        .flatMap(worker -> worker.lastHeartbeat())
                        .ifPresent(heartbeat -> heartbeat.tasks().forEach(task -> add(byPhase, task)));
            }
        }
        return byPhase;
    }

    private void add(TreeMap<String, Double> byPhase, TaskStatus task) {
        context.replica()
                .job(task.task().job())
                .flatMap(JobRecord::spec)
                .ifPresent((Submission spec) -> byPhase.merge(
                        spec.jobClass() + " " + task.phase().wire(),
                        spec.perTask().gpus(),
                        Double::sum));
    }
}
