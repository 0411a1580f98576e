package org.dunespindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Options;
import org.dunespindle.job.TeamQuotas;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.scheduling.TeamUsage;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;

/** The administration API, version 1: JSON on the peers' address. */
public final class AdminApi {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PREFIX = "/v1/";
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final CommitQueue commitQueue;
    private final MachineRecordWriter machineWriter;
    private final TeamQuotas teamAccounts;
    private final EventRecorder eventRecorder;
    private final Supplier<Options> options;
    private final Function<JobRecord, String> whyWaits;
    private final JobDelegation jobDelegation;
    private final Map<String, Histogram> latencies;

    public AdminApi(
            ControllerContext context,
            CommitQueue commitQueue,
            MachineRecordWriter machineWriter,
            TeamQuotas teamQuotas,
            Supplier<Options> options,
            Function<JobRecord, String> whyWaits,
            JobDelegation jobDelegation,
            Map<String, Histogram> latencies) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.eventRecorder = context.eventRecorder();
        this.commitQueue = commitQueue;
        this.machineWriter = machineWriter;
        this.teamAccounts = teamQuotas;
        this.options = options;
        this.whyWaits = whyWaits;
        this.jobDelegation = jobDelegation;
        this.latencies = latencies;
    }

    /** Answers a request of the administration API. */
    public void handle(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        if (!path.startsWith(PREFIX)) {
            answer.accept(error(404, "no such path"));
        } else if (!replica.loaded()) {
            answer.accept(error(503, "this controller is still reading the stored state"));
        } else if (jobDelegation.administer(method, path.substring(PREFIX.length()), body, answer)) {
            return;
        } else if (method.equals("GET")) {
            replica.refresh(
                    () -> answer.accept(read(path.substring(PREFIX.length()))),
                    () -> answer.accept(error(503, "the state service does not answer")));
        } else if (method.equals("PUT") && path.equals(PREFIX + "options")) {
            setOptions(body, answer);
        } else if (method.equals("POST") && path.startsWith(PREFIX + "hosts/") && path.endsWith("/drain")) {
            drain(path.substring((PREFIX + "hosts/").length(), path.length() - "/drain".length()), answer);
        } else {
            answer.accept(error(405, "not possible: " + method + " " + path));
        }
    }

    /** An answer that tells what is wrong. */
    public static AdminResponse error(int status, String text) {
        return new AdminResponse(status, MessagePackCodec.map().put("error", text));
    }

    private AdminResponse read(String what) {
        ObjectNode n = MessagePackCodec.map();
        if (what.startsWith("jobs/")) {
            return replica.job(what.substring("jobs/".length()))
                    .map(j -> new AdminResponse(200, show(j, true)))
                    .orElseGet(() -> error(404, "no such job"));
        }
        switch (what) {
            case "jobs" -> {
                var list = n.putArray("jobs");
                replica.activeJobs().forEach(j -> list.add(show(j, false)));
                n.put(
                        "finished",
                        replica.jobs().values().stream()
                                .filter(j -> !j.isOpen())
                                .count());
            }
            case "hosts" -> {
                var list = n.putArray("hosts");
                replica.machines().values().forEach(machine -> list.add(show(machine)));
            }
            case "teams" -> teams(n);
            case "controllers" -> {
                membership.leader().ifPresent(l -> n.put("leader", l));
                var list = n.putArray("controllers");
                replica.members()
                        .forEach((name, v) -> list.addObject()
                                .put("name", name)
                                .put("incarnation", v.path("inc").longValue())
                                .put(
                                        "machines",
                                        replica.machines().values().stream()
                                                .filter(machine ->
                                                        machine.owner().equals(name))
                                                .count()));
            }
            case "options" ->
                n.put("stamp", replica.modRevision(Keys.OPTIONS))
                        .set("options", options.get().describe());
            case "decisions" -> eventRecorder.toNode(n.put("controller", settings.nodeName()));
            case "latency" ->
                latencies.forEach((name, h) -> n.putObject(name)
                        .put("count", h.getTotalCount())
                        .put("p50Ms", h.getValueAtPercentile(50) / 1000.0)
                        .put("p90Ms", h.getValueAtPercentile(90) / 1000.0)
                        .put("p99Ms", h.getValueAtPercentile(99) / 1000.0)
                        .put("maxMs", h.getMaxValue() / 1000.0));
            default -> {
                return error(
                        404, "no such path; there are jobs, hosts, teams, controllers, options, decisions, latency");
            }
        }
        return new AdminResponse(200, n);
    }

    /** How many replicas there should be, are, and are being started again. */
    private static void showReplicas(ObjectNode n, JobRecord job) {
        long stopping = job.allocations().stream().filter(Allocation::stopping).count();
        long running = job.allocations().size() - stopping;
        n.put("replicasWanted", job.submission().tasks())
                .put("replicasRunning", running)
                .put("replicasRestarting", job.submission().tasks() - running);
    }

    private ObjectNode show(JobRecord job, boolean whole) {
        ObjectNode n = UserApi.show(job, jobDelegation).body();
        job.inboundDelegation().ifPresent(visit -> n.put("visitorOf", visit.home()));
        job.spec()
                .ifPresent(submission -> n.put("class", submission.jobClass())
                        .put("team", submission.team())
                        .put("shape", submission.kind().wire())
                        .put("priority", submission.priority().wire())
                        .put("tasks", submission.tasks()));
        n.put("accepted", job.arrived().toString());
        if (job.isOpen() && job.submission().isService()) {
            showReplicas(n, job);
        }
        boolean placing = job.isOpen() && job.submission().isGang() && job.gangPhase() != JobRecord.GangPhase.RUNNING;
        if (placing || job.unplacedCount() > 0 || job.isDelegatedAway()) {
            n.put("waits", whyWaits.apply(job));
        }
        if (whole && job.spec().isPresent()) {
            n.put("mode", shownPhase(job.gangPhase())).put("failures", job.failures());
            var list = n.putArray("places");
            for (Allocation allocation : job.allocations()) {
                list.addObject()
                        .put("task", allocation.task())
                        .put("host", allocation.machineId())
                        .put("attempt", job.expectedAttempt(allocation))
                        .put("stopping", allocation.stopping());
            }
        }
        return n;
    }

    /** The word for a gang phase that operators' tools know, whatever the constant is called here. */
    private static String shownPhase(JobRecord.GangPhase phase) {
        return switch (phase) {
            case QUEUED -> "idle";
            case PLACEHOLDERS -> "hold";
            case RUNNING -> "real";
            case STOPPING -> "stop";
        };
    }

    private ObjectNode show(MachineRecord machine) {
        ObjectNode n = MessagePackCodec.map()
                .put("id", machine.id())
                .put("type", machine.type())
                .put("zone", machine.zone())
                .put("spot", machine.spot())
                .put("owner", machine.owner())
                .put("token", machine.token())
                .put("rented", machine.rented().toString())
                .put("tasks", replica.allocationsOn(machine.id()).size())
                .put("leaving", machine.draining());
        membership
                .hashed(machine.id())
                .filter(home -> !home.equals(machine.owner()))
                .ifPresent(home -> n.put("lentBy", home));
        return machine.draining() ? n.put("why", machine.drainReason()) : n;
    }

    private void teams(ObjectNode n) {
        TeamUsage use = TeamUsage.stored(replica);
        var list = n.putArray("teams");
        settings.teams().values().forEach(team -> {
            Resources resources = use.of(team.name());
            ObjectNode o = list.addObject()
                    .put("name", team.name())
                    .put("cpusUsed", resources.cpus())
                    .put("gpusUsed", resources.gpus())
                    .put("cpusGuaranteed", team.cpus())
                    .put("gpusGuaranteed", team.gpus());
            if (Double.isFinite(team.cpusMax())) {
                o.put("cpusMost", team.cpusMax());
            }
            if (Double.isFinite(team.gpusMax())) {
                o.put("gpusMost", team.gpusMax());
            }
            teamAccounts.show(team.name(), o.putObject("ledger"));
        });
    }

    /** Stores options if nobody changed them since the caller read them. */
    private void setOptions(byte[] body, Consumer<AdminResponse> answer) {
        JsonNode n;
        try {
            n = JSON.readTree(body);
        } catch (IOException e) {
            n = null;
        }
        if (n == null
                || !n.path("stamp").isIntegralNumber()
                || !n.path("values").isObject()) {
            answer.accept(error(400, "expected {\"stamp\": as read, \"values\": {name: value}}"));
            return;
        }
        ObjectNode merged = replica.value(Keys.OPTIONS)
                .filter(JsonNode::isObject)
                .map(v -> ((ObjectNode) v).deepCopy())
                .orElseGet(MessagePackCodec::map);
        for (Map.Entry<String, JsonNode> e : n.get("values").properties()) {
            Optional<String> wrong = Options.complaint(e.getKey(), e.getValue());
            if (wrong.isPresent()) {
                answer.accept(error(400, wrong.get()));
                return;
            }
            merged.set(e.getKey(), e.getValue());
        }
        commit(
                new Transaction()
                        .requireRevision(Keys.OPTIONS, n.get("stamp").longValue())
                        .write(Keys.OPTIONS, merged),
                Keys.OPTIONS,
                answer,
                () -> new AdminResponse(200, MessagePackCodec.map().put("stamp", replica.modRevision(Keys.OPTIONS))));
    }

    private void drain(String id, Consumer<AdminResponse> answer) {
        MachineRecord h = replica.machines().get(id);
        if (h == null) {
            answer.accept(error(404, "no such machine"));
            return;
        }
        if (machineWriter.busy(id)) {
            answer.accept(error(409, "another change is under way; read again and repeat"));
            return;
        }
        machineWriter.change(
                CommitPriority.USERS,
                h.draining(MachineRecord.DRAINED),
                result -> answer.accept(after(
                        result,
                        () -> new AdminResponse(
                                200, MessagePackCodec.map().put("id", id).put("leaving", true)))));
    }

    private void commit(
            Transaction transaction, String key, Consumer<AdminResponse> answer, Supplier<AdminResponse> good) {
        if (commitQueue.isLocked(key)) {
            answer.accept(error(409, "another change is under way; read again and repeat"));
            return;
        }
        commitQueue.propose(CommitPriority.USERS, transaction, result -> answer.accept(after(result, good)));
    }

    private static AdminResponse after(TransactionResult result, Supplier<AdminResponse> good) {
        if (result instanceof TransactionResult.Applied) {
            return good.get();
        }
        return result instanceof TransactionResult.Conflict
                ? error(409, "changed by somebody else meanwhile; read again and repeat")
                : error(503, "the state service does not answer");
    }
}
