package org.dunespindle.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.dunespindle.api.AdminApi;
import org.dunespindle.api.ControllerStatus;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.api.JobDelegation;
import org.dunespindle.api.SubmissionFeasibility;
import org.dunespindle.api.UserApi;
import org.dunespindle.control.Options;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;

/**
 * Creates the components of one controller and wires them together. They do nothing before the controller is started, and
 * all run on one event loop.
 */
final class ControllerParts implements ControllerStatus {
    final SharedParts shared;
    final WorkerParts workers;
    final MachineParts machines;
    final JobParts jobs;
    final RoundScheduler roundScheduler;
    final DecisionLoop decisionLoop;
    final ControllerHealth health;
    final WaitExplainer waitExplainer;
    final LoadReporter loadReporter;
    final JobDelegation jobDelegation;
    final AdminApi adminApi;
    final UserApi userApi;
    private final Histogram acceptTimes = LatencyHistograms.create();

    /**
     * Creates and wires the components.
     *
     * @param formats the announced and the readable versions of the storage format
     * @param terminate called, with a reason for operators, when this controller must terminate
     * @param connector creates the connection of the controller to other cells
     */
    ControllerParts(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            FormatSupport formats,
            Consumer<String> terminate,
            Function<DelegationContext, JobDelegation> connector) {
        var pauseDetector = new PauseDetector(timeSource);
        roundScheduler = new RoundScheduler(timeSource, pauseDetector);
        Runnable requestRound = roundScheduler::requestRound;
        var objectives = new ServiceLevelObjectives(settings.objectives());
        health = new ControllerHealth(this);
        shared = new SharedParts(settings, httpClient, timeSource, pauseDetector, formats, requestRound);
        workers = new WorkerParts(shared, httpClient, health::isPartitioned, requestRound);
        machines = new MachineParts(shared, workers, httpClient, objectives, requestRound);
        jobs = new JobParts(shared, workers, machines, objectives);
        decisionLoop = new DecisionLoop(this, terminate);
        roundScheduler.setRound(decisionLoop);
        waitExplainer = new WaitExplainer(this, decisionLoop::lastPlan);
        loadReporter = new LoadReporter(
                shared.context,
                workers.heartbeatHandler,
                workers.workerClient,
                shared.commitQueue,
                shared.stateStore,
                roundScheduler.roundTimes(),
                decisionLoop.planTimes());
        jobDelegation = connector.apply(delegationContext());
        adminApi = new AdminApi(
                shared.context,
                shared.commitQueue,
                shared.machineWriter,
                jobs.placementWriter.teamQuotas(),
                this,
                jobDelegation,
                latencies());
        userApi = new UserApi(
                shared.context,
                shared.stateStore,
                shared.commitQueue,
                machines.catalog::types,
                acceptTimes,
                jobDelegation);
    }

    @Override
    public Options options() {
        return shared.options.get();
    }

    @Override
    public String waitReason(JobRecord job) {
        return jobDelegation.waitReason(job).orElseGet(() -> waitExplainer.explain(job));
    }

    private DelegationContext delegationContext() {
        return new DelegationContext(
                shared.settings,
                shared.timeSource,
                shared.replica,
                shared.context.jobWriter(),
                shared.membership,
                shared.commitQueue,
                shared.context.eventRecorder(),
                shared.options,
                this::checkFeasibility,
                waitExplainer::explain,
                () -> machines.catalog.types().orElse(List.of()));
    }

    /** Whether a job can ever run in this cell; empty until the catalog of machine types is available. */
    private Optional<DelegationContext.FeasibilityResult> checkFeasibility(Submission job) {
        return machines.catalog
                .types()
                .map(types -> new DelegationContext.FeasibilityResult(
                        SubmissionFeasibility.infeasibilityReason(job, types, shared.settings)));
    }

    private Map<String, Histogram> latencies() {
        var byName = new TreeMap<String, Histogram>();
        byName.put("decisionRound", roundScheduler.roundTimes());
        byName.put("plan", decisionLoop.planTimes());
        byName.put("stateCall", shared.stateStore.latency());
        byName.put("cloudCall", machines.cloud.latency());
        byName.put("holdPlacement", jobs.gangLifecycle.placeholderLatency());
        byName.put("replacement", jobs.gangLifecycle.replacementLatency());
        byName.put("accept", acceptTimes);
        return byName;
    }
}
