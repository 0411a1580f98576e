package org.dunespindle.controller;

import java.time.Duration;
import java.util.Map;
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

/** Periodically logs the load of this controller at debug level. */
final class LoadReporter {
    private static final Logger LOG = LoggerFactory.getLogger(LoadReporter.class);
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(10);
    private static final double MEDIAN = 50;
    private static final double HIGH_PERCENTILE = 90;
    private static final long MICROS_PER_MILLI = 1000;
    private final ControllerContext context;
    private final HeartbeatHandler heartbeatHandler;
    private final WorkerClient workerClient;
    private final CommitQueue commitQueue;
    private final StateStoreClient stateStore;
    private final Histogram rounds;
    private final Histogram plans;
    private Duration lastReportAt = Duration.ZERO;

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

    /** Writes the log lines if the interval has elapsed and debug logging is enabled. */
    void reportIfDue() {
        Duration now = context.timeSource().now();
        if (!LOG.isDebugEnabled() || now.minus(lastReportAt).compareTo(REPORT_INTERVAL) < 0) {
            return;
        }
        lastReportAt = now;
        LOG.debug("accelerators in use byClassAndPhase={}", acceleratorsByPhase());
        logRates();
        LOG.debug("replica {}", context.replica().statistics());
        logLatencies();
    }

    private void logRates() {
        LOG.debug(
                "load heartbeats={} workerCalls={} changes={} queuedChanges={} conflicts={} writeRatePerSecond={} changesByKind={}",
                heartbeatHandler.heartbeatCount(),
                workerClient.callCount(),
                commitQueue.sentChangeCount(),
                commitQueue.pendingCount(),
                commitQueue.conflictedChangeCount(),
                Math.round(stateStore.writeLimiter().perSecond()),
                commitQueue.changeCountsByKeyType());
    }

    private void logLatencies() {
        LOG.debug(
                "latency rounds={} roundP90Ms={} plans={} planP50Ms={} planP90Ms={} storeCalls={} storeCallP90Ms={}"
                        + " ownedMachines={} machines={}",
                rounds.getTotalCount(),
                millis(rounds, HIGH_PERCENTILE),
                plans.getTotalCount(),
                millis(plans, MEDIAN),
                millis(plans, HIGH_PERCENTILE),
                stateStore.latency().getTotalCount(),
                millis(stateStore.latency(), HIGH_PERCENTILE),
                ownedMachines(),
                context.replica().machines().size());
    }

    private static long millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private long ownedMachines() {
        return context.replica().machines().values().stream()
                .filter(context.membership()::owns)
                .count();
    }

    private Map<String, Double> acceleratorsByPhase() {
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

    private void add(Map<String, Double> byPhase, TaskStatus task) {
        context.replica()
                .activeJob(task.task().job())
                .flatMap(JobRecord::spec)
                .ifPresent((Submission spec) -> byPhase.merge(
                        spec.jobClass() + " " + task.phase().wireName(),
                        spec.perTask().gpus(),
                        Double::sum));
    }
}
