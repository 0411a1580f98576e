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
import org.dunespindle.storage.Keys;
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
            replica.refresh(
                    () -> answer.accept(read(resource)), () -> answer.accept(AdminResponse.stateServiceUnavailable()));
        } else if (method.equals("PUT") && resource.equals(OPTIONS)) {
            changes.setOptions(body, answer);
        } else if (method.equals("POST") && resource.startsWith(MACHINES) && resource.endsWith(DRAIN)) {
            changes.drain(resource.substring(MACHINES.length(), resource.length() - DRAIN.length()), answer);
        } else {
            answer.accept(AdminResponse.error(HttpStatus.METHOD_NOT_ALLOWED, method + " is not allowed for " + path));
        }
    }

    private AdminResponse read(String resource) {
        if (resource.startsWith(JOBS)) {
            return replica.job(resource.substring(JOBS.length()))
                    .map(job -> AdminResponse.ok(jobRenderer.details(job)))
                    .orElseGet(() -> AdminResponse.notFound("no such job"));
        }
        return switch (resource) {
            case "jobs" -> AdminResponse.ok(jobs());
            case "hosts" -> AdminResponse.ok(clusterRenderer.machines());
            case "teams" -> AdminResponse.ok(clusterRenderer.teams());
            case "controllers" -> AdminResponse.ok(clusterRenderer.controllers());
            case OPTIONS -> AdminResponse.ok(options());
            case "decisions" -> AdminResponse.ok(events());
            case "latency" -> AdminResponse.ok(latency());
            default ->
                AdminResponse.notFound(
                        "no such path; available are jobs, hosts, teams, controllers, options, decisions, latency");
        };
    }

    private ObjectNode jobs() {
        ObjectNode body = MessagePackCodec.map();
        ArrayNode list = body.putArray("jobs");
        replica.activeJobs().forEach(job -> list.add(jobRenderer.summary(job)));
        long finished =
                replica.jobs().values().stream().filter(job -> !job.isOpen()).count();
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
