package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** Renders jobs for operators: the users' view plus scheduling details. */
final class AdminJobRenderer {
    private final JobStatusRenderer userStatus;
    private final ControllerStatus controller;

    AdminJobRenderer(JobDelegation jobDelegation, ControllerStatus controller) {
        this.userStatus = new JobStatusRenderer(jobDelegation);
        this.controller = controller;
    }

    /** A job as a row of the list of jobs. */
    ObjectNode summary(JobRecord job) {
        ObjectNode body = userStatus.render(job);
        job.inboundDelegation().ifPresent(delegation -> body.put("visitorOf", delegation.origin()));
        job.spec()
                .ifPresent(submission -> body.put("class", submission.jobClass())
                        .put("team", submission.team())
                        .put("shape", submission.kind().wireName())
                        .put("priority", submission.priority().wireName())
                        .put("tasks", submission.tasks()));
        body.put("accepted", job.arrived().toString());
        if (job.isOpen() && job.submission().isService()) {
            putReplicas(body, job);
        }
        if (isWaiting(job)) {
            body.put("waits", controller.waitReason(job));
        }
        return body;
    }

    /** A job with its gang phase, failures and allocations. */
    ObjectNode details(JobRecord job) {
        ObjectNode body = summary(job);
        if (job.spec().isPresent()) {
            body.put("mode", phaseName(job.gangPhase())).put("failures", job.failures());
            putAllocations(body.putArray("places"), job);
        }
        return body;
    }

    private static boolean isWaiting(JobRecord job) {
        boolean gangNotRunning =
                job.isOpen() && job.submission().isGang() && job.gangPhase() != JobRecord.GangPhase.RUNNING;
        return gangNotRunning || job.unplacedCount() > 0 || job.isDelegatedAway();
    }

    /** Adds how many replicas are wanted, are running and are being restarted. */
    private static void putReplicas(ObjectNode body, JobRecord job) {
        long stopping = job.allocations().stream().filter(Allocation::stopping).count();
        long running = job.allocations().size() - stopping;
        body.put("replicasWanted", job.submission().tasks())
                .put("replicasRunning", running)
                .put("replicasRestarting", job.submission().tasks() - running);
    }

    private static void putAllocations(ArrayNode list, JobRecord job) {
        for (Allocation allocation : job.allocations()) {
            list.addObject()
                    .put("task", allocation.task())
                    .put("host", allocation.machineId())
                    .put("attempt", job.expectedAttempt(allocation))
                    .put("stopping", allocation.stopping());
        }
    }

    /** The name of a gang phase that operators' tools rely on; it differs from the constant's name. */
    private static String phaseName(JobRecord.GangPhase phase) {
        return switch (phase) {
            case QUEUED -> "idle";
            case PLACEHOLDERS -> "hold";
            case RUNNING -> "real";
            case STOPPING -> "stop";
        };
    }
}
