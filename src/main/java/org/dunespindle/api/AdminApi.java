package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.job.TeamQuotas;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.JobLookupResult;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.ReplicaStatistics;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.transport.HttpStatus;

/** Routes the requests of the administration API, version 1: JSON over HTTP on the {@code peer_listen} address. */
public final class AdminApi {
    private static final String PREFIX = "/v1/";
    private static final String JOBS = "jobs/";
    private static final String MACHINES = "hosts/";
    private static final String DRAIN = "/drain";
    private static final String OPTIONS = "options";
    private static final double MICROS_PER_MILLI = 1000.0;

    private final String nodeName;
    private final StateReplica replica;
    private final EventRecorder eventRecorder;
    private final ControllerStatus controller;
    private final JobDelegation jobDelegation;
    private final Map<String, Histogram> latencies;
    private final AdminJobRenderer jobRenderer;
    private final AdminClusterRenderer clusterRenderer;
    private final AdminChanges changes;

    /**
     * Creates the API of one controller.
     *
     * @param latencies histograms in microseconds, by the names under which they are shown
     */
    public AdminApi(
            ControllerContext context,
            CommitQueue commitQueue,
            MachineRecordWriter machineWriter,
            TeamQuotas teamQuotas,
            ControllerStatus controller,
            JobDelegation jobDelegation,
            Map<String, Histogram> latencies) {
        this.nodeName = context.settings().nodeName();
        this.replica = context.replica();
        this.eventRecorder = context.eventRecorder();
        this.controller = controller;
        this.jobDelegation = jobDelegation;
        this.latencies = latencies;
        this.jobRenderer = new AdminJobRenderer(jobDelegation, controller);
        this.clusterRenderer = new AdminClusterRenderer(context, teamQuotas);
        this.changes = new AdminChanges(context, commitQueue, machineWriter);
    }

    /** Handles a request; changes are answered once they are stored, possibly after this method has returned. */
    public void handle(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        if (!path.startsWith(PREFIX)) {
            answer.accept(AdminResponse.notFound("no such path"));
            return;
        }
        if (!replica.isLoaded()) {
            answer.accept(AdminResponse.error(
                    HttpStatus.SERVICE_UNAVAILABLE, "this controller is still reading the stored state"));
            return;
        }
        String resource = path.substring(PREFIX.length());
        if (jobDelegation.handleAdminRequest(method, resource, body, answer)) {
            return;
        }
        if (method.equals("GET")) {
            replica.refresh(() -> read(resource, answer), () -> answer.accept(AdminResponse.stateServiceUnavailable()));
        } else if (method.equals("PUT") && resource.equals(OPTIONS)) {
            changes.setOptions(body, answer);
        } else if (method.equals("POST") && resource.startsWith(MACHINES) && resource.endsWith(DRAIN)) {
            changes.drain(resource.substring(MACHINES.length(), resource.length() - DRAIN.length()), answer);
        } else {
            answer.accept(AdminResponse.error(HttpStatus.METHOD_NOT_ALLOWED, method + " is not allowed for " + path));
        }
    }

    private void read(String resource, Consumer<AdminResponse> answer) {
        if (resource.startsWith(JOBS)) {
            replica.findJobAfterRefresh(resource.substring(JOBS.length()), result -> answer.accept(jobDetails(result)));
        } else {
            answer.accept(read(resource));
        }
    }

    private AdminResponse jobDetails(JobLookupResult result) {
        if (!result.isConclusive()) {
            return AdminResponse.stateServiceUnavailable();
        }
        return result.job()
                .map(job -> AdminResponse.ok(jobRenderer.details(job)))
                .orElseGet(() -> AdminResponse.notFound("no such job"));
    }

    private AdminResponse read(String resource) {
        return switch (resource) {
            case "jobs" -> AdminResponse.ok(jobs());
            case "hosts" -> AdminResponse.ok(clusterRenderer.machines());
            case "teams" -> AdminResponse.ok(clusterRenderer.teams());
            case "controllers" -> AdminResponse.ok(clusterRenderer.controllers());
            case OPTIONS -> AdminResponse.ok(options());
            case "decisions" -> AdminResponse.ok(events());
            case "latency" -> AdminResponse.ok(latency());
            case "replica" -> AdminResponse.ok(replicaStatistics());
            default ->
                AdminResponse.notFound(
                        "no such path; available are jobs, hosts, teams, controllers, options, decisions, latency, replica");
        };
    }

    private ObjectNode jobs() {
        ObjectNode body = MessagePackCodec.map();
        ArrayNode list = body.putArray("jobs");
        long finished = replica.statistics().endedJobs();
        for (JobRecord job : replica.activeJobs()) {
            list.add(jobRenderer.summary(job));
            finished += job.isOpen() ? 0 : 1;
        }
        return body.put("finished", finished);
    }

    private ObjectNode options() {
        ObjectNode body = MessagePackCodec.map().put("stamp", replica.modRevision(Keys.OPTIONS));
        body.set("options", controller.options().describe());
        return body;
    }

    private ObjectNode events() {
        ObjectNode body = MessagePackCodec.map().put("controller", nodeName);
        eventRecorder.toNode(body);
        return body;
    }

    private ObjectNode replicaStatistics() {
        ReplicaStatistics statistics = replica.statistics();
        return MessagePackCodec.map()
                .put("controller", nodeName)
                .put("jobs", statistics.jobs())
                .put("keys", statistics.keys())
                .put("cancelledJobs", statistics.cancelledJobs())
                .put("endedJobs", statistics.endedJobs())
                .put("cacheHits", statistics.cacheHits())
                .put("reads", statistics.reads())
                .put("failedReads", statistics.failedReads())
                .put("refusedReads", statistics.refusedReads());
    }

    private ObjectNode latency() {
        ObjectNode body = MessagePackCodec.map();
        latencies.forEach((name, histogram) -> body.putObject(name)
                .put("count", histogram.getTotalCount())
                .put("p50Ms", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI)
                .put("p90Ms", histogram.getValueAtPercentile(90) / MICROS_PER_MILLI)
                .put("p99Ms", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI)
                .put("maxMs", histogram.getMaxValue() / MICROS_PER_MILLI));
        return body;
    }
}
