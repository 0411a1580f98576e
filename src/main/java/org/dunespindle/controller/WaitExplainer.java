package org.dunespindle.controller;

import java.util.function.Supplier;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.JobRecord;

/** Explains to users why an unfinished job waits in this cell. */
final class WaitExplainer {
    private final ControllerParts parts;
    private final Supplier<Plan> lastPlan;

    WaitExplainer(ControllerParts parts, Supplier<Plan> lastPlan) {
        this.parts = parts;
        this.lastPlan = lastPlan;
    }

    String explain(JobRecord job) {
        if (parts.shared.replica.staleness().compareTo(DecisionLoop.MAX_STALENESS_FOR_PLACEMENT) > 0) {
            return "the state store does not answer; no tasks are placed";
        }
        if (job.spec().isPresent() && job.submission().isGang() && job.gangPhase() == JobRecord.GangPhase.STOPPING) {
            return "its members are being stopped before it is placed again";
        }
        if (parts.machines.crashLoopDetector.isCrashLooping(job.id())) {
            return "its tasks have failed " + job.failures() + " times, on "
                    + parts.machines
                            .crashLoopDetector
                            .machinesWithFailuresOf(job.id())
                            .size()
                    + " machines according to this controller, and none succeeded; one task is retried at a time, with increasing back-off";
        }
        if (job.isDelegatedAway()) {
            return "cell " + job.outboundDelegation().orElseThrow().cell() + " may have accepted it";
        }
        if (job.unplacedCount() == 0) {
            return "its placeholders are fetching the image";
        }
        String plannedReason = lastPlan.get().waitReasons().get(job.id());
        return plannedReason != null ? plannedReason : explainUnplanned(job);
    }

    private String explainUnplanned(JobRecord job) {
        if (job.submission().isGang() && !parts.shared.membership.isLeader()) {
            return "gangs are placed by the leader; ask "
                    + parts.shared.membership.leader().orElse("it");
        }
        return "it is about to be placed";
    }
}
