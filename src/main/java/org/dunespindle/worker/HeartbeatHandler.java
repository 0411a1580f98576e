package org.dunespindle.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.HeartbeatReconciler;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers workers' reports: whose they are, whether a lease may be renewed here and now, and who should hear them instead. What
 * follows from a report for its machine is worked out by {@link WorkerClient}.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    private static final Duration KEEP = Duration.ofSeconds(40);
    private static final Duration TURNED_AWAY_MEMORY = Duration.ofSeconds(40);
    private static final Duration TURNED_AWAY_GAP = Duration.ofMillis(1500);
    /** What a lease may outlast the last renewal by, beside its length: clocks, and what is under way. */
    private static final Duration MARGIN = Duration.ofSeconds(4);

    private static final Duration LEAST_VIEW = Duration.ofSeconds(2);
    private static final int STRAYS_UNSEEN = 4;
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final MachineRecordWriter machineWriter;
    private final WorkerClient workerClient;
    private final TimeSource timeSource;
    private final WorkerRegistry workers;
    private final EventRecorder eventRecorder;
    private final CancellationTracker cancellationTracker;
    private final BooleanSupplier isPartitioned;
    private final Predicate<String> isSuspected;
    private final Runnable changed;
    /** With older knowledge of cancellations no lease is renewed: one told elsewhere may be unknown here, and must end its tasks in time. */
    private final Duration viewLimit;

    private long heartbeatCount;

    public HeartbeatHandler(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            WorkerClient workerClient,
            CancellationTracker cancellationTracker,
            BooleanSupplier cutOff,
            Predicate<String> fellQuiet,
            Runnable changed) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeSource = context.timeSource();
        this.workers = context.workers();
        this.eventRecorder = context.eventRecorder();
        this.machineWriter = machineWriter;
        this.workerClient = workerClient;
        this.cancellationTracker = cancellationTracker;
        this.isPartitioned = cutOff;
        this.isSuspected = fellQuiet;
        this.changed = changed;
        Duration spare =
                settings.workers().cancel().minus(settings.workers().lease()).minus(MARGIN);
        this.viewLimit = spare.compareTo(LEAST_VIEW) < 0 ? LEAST_VIEW : spare;
    }

    /** Reports answered so far. */
    public long heartbeatCount() {
        return heartbeatCount;
    }

    /** Answers a report: status and body. */
    public void onHeartbeat(WorkerHeartbeat heartbeat, BiConsumer<Integer, ObjectNode> answer) {
        heartbeatCount++;
        WorkerState worker = workers.getOrCreate(heartbeat.machineId());
        Optional<WorkerHeartbeat> before = worker.lastHeartbeat();
        Duration now = timeSource.now();
        boolean wasSilent = workerClient.silent(worker);
        boolean newer = worker.acceptHeartbeat(heartbeat, now);
        if (heartbeat.notice().isPresent()) {
            workerClient.notice(heartbeat.machineId());
        }
        if (newer) {
            workerClient.reconcileIfChanged(heartbeat, before);
        }
        if (newer && wasSilent && worker.commandsUnconfirmedSince().isPresent()) {
            // After a cut, or when it has just found its way here: that no command arrived before does not show that
            // none does now.
            worker.commandRetryDue(now);
            workerClient.scheduleReconciliation(heartbeat.machineId());
            changed.run();
        }
        MachineRecord machine = replica.machines().get(heartbeat.machineId());
        if (replica.loaded() && renewOrphanedLease(heartbeat, machine, answer)) {
            return;
        }
        if (!replica.loaded() || membership.incarnation() == 0 || !mayRenew()) {
            answer.accept(503, error("this controller does not know the present state"));
            return;
        }
        if (newer && worker.commandsUnconfirmedSince().isPresent() && worker.callDelayed(timeSource.now())) {
            worker.nextCallNotBefore(timeSource.now().plus(WorkerClient.REFUSED_PAUSE));
            workerClient.scheduleReconciliation(heartbeat.machineId());
        }
        if (isPartitioned.getAsBoolean()) {
            answerWhilePartitioned(heartbeat, machine, worker, answer);
        } else if (machine == null) {
            handleUnregistered(heartbeat, worker, newer, answer);
        } else if (membership.owns(machine)) {
            answerOwned(heartbeat, machine, worker, newer, answer);
            if (newer && heartbeat.token() == machine.token()) {
                worker.leaseRenewed(timeSource.now());
            }
        } else {
            redirectToOwner(heartbeat, machine, worker, newer, answer);
        }
    }

    /**
     * A worker whose controller is gone is answered under the stored token until somebody takes its machine over: after a crash of
     * all, taking over takes longer than is left of its lease. Without commands, an equal token does nothing but renew.
     */
    private boolean renewOrphanedLease(
            WorkerHeartbeat heartbeat, MachineRecord machine, BiConsumer<Integer, ObjectNode> answer) {
        boolean orphan = machine != null
                && !membership.isAlive(machine.owner(), machine.incarnation())
                && replica.staleness().compareTo(WorkerClient.START_VIEW) < 0
                && accepts(heartbeat, machine);
        if (orphan) {
            renew(heartbeat, machine, answer);
        }
        return orphan;
    }

    /** Whether a worker may be answered with 200, as far as cancellations go. */
    private boolean mayRenew() {
        return cancellationTracker.staleness().compareTo(viewLimit) <= 0;
    }

    /** A worker that has seen a higher token than is stored drops what is answered under the stored one, and waits until its lease is over. */
    private static boolean accepts(WorkerHeartbeat heartbeat, MachineRecord machine) {
        return heartbeat.token() <= machine.token();
    }

    /** Renews a worker's lease and ends what is cancelled, nothing else. */
    private void renew(WorkerHeartbeat heartbeat, MachineRecord machine, BiConsumer<Integer, ObjectNode> answer) {
        answer.accept(
                200,
                WorkerCommand.reply(
                        machine.token(),
                        workerClient.cancelledOn(heartbeat).stream()
                                .limit(WorkerClient.COMMANDS_AT_ONCE)
                                .toList()));
    }

    private static ObjectNode error(String text) {
        return MessagePackCodec.map().put("error", text);
    }

    private void answerOwned(
            WorkerHeartbeat heartbeat,
            MachineRecord machine,
            WorkerState session,
            boolean newer,
            BiConsumer<Integer, ObjectNode> answer) {
        if (!accepts(heartbeat, machine)) {
            answer.accept(503, error("its token is being raised"));
            return;
        }
        // Halts ride along for a worker that reaches this controller but cannot be reached, and forgetting has time;
        // starts never ride.
        boolean proof = newer
                && heartbeat.token() == machine.token()
                && session.unansweredStartToken().isEmpty()
                && !session.callInFlight()
                && replica.appliedRevision() >= replica.modRevision(Keys.machinePage(heartbeat.machineId()));
        if (!proof) {
            renew(heartbeat, machine, answer);
            return;
        }
        List<WorkerCommand> commands = workerClient
                .keepExits(
                        machine,
                        session,
                        HeartbeatReconciler.reconcile(workerClient.allocations(heartbeat.machineId()), heartbeat)
                                .commands())
                .stream()
                .filter(o -> !(o instanceof WorkerCommand.Run))
                .limit(WorkerClient.COMMANDS_AT_ONCE)
                .toList();
        answer.accept(200, WorkerCommand.reply(machine.token(), commands));
    }

    /**
     * This controller reaches neither the state service nor a controller that does, yet workers reach it. Whoever can
     * act takes its machines over, so its workers are sent to find that one. One that comes back was turned
     * away everywhere: it is better kept alive than left to die, as long as no cancellation can have been missed.
     */
    private void answerWhilePartitioned(
            WorkerHeartbeat heartbeat,
            MachineRecord machine,
            WorkerState worker,
            BiConsumer<Integer, ObjectNode> answer) {
        Duration now = timeSource.now();
        boolean ours = machine != null && membership.owns(machine) && accepts(heartbeat, machine);
        Optional<Duration> away =
                worker.rejectedWhilePartitionedAt().map(now::minus).filter(d -> d.compareTo(TURNED_AWAY_MEMORY) < 0);
        boolean cameBack = away.filter(d -> d.compareTo(TURNED_AWAY_GAP) > 0).isPresent();
        if (ours && (cameBack || !hearsOtherZones())) {
            renew(heartbeat, machine, answer);
            return;
        }
        if (away.isEmpty()) {
            worker.rejectedWhilePartitioned(now);
        }
        answer.accept(503, error("this controller is cut off from the state service and the others"));
    }

    /** In a cut between zones only the own zone's workers are heard, and nobody else can answer them. */
    private boolean hearsOtherZones() {
        Duration recent = Durations.times(settings.workers().report(), 2).plusSeconds(1);
        for (WorkerState worker : workers.all()) {
            if (worker.lastHeartbeatAt().isPresent()
                    && timeSource.now().minus(worker.lastHeartbeatAt().get()).compareTo(recent) < 0
                    && worker.lastHeartbeat()
                            .filter(x -> !x.zone().equals(settings.zone()))
                            .isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** A machine that no record names. Its report may be a late copy and the machine long gone, so it is asked itself first. */
    private void handleUnregistered(
            WorkerHeartbeat heartbeat, WorkerState worker, boolean newer, BiConsumer<Integer, ObjectNode> answer) {
        Optional<String> owner = membership.hashed(heartbeat.machineId());
        if (!membership.joined() || owner.isEmpty()) {
            answer.accept(503, error("not a member yet"));
        } else if (!owner.get().equals(settings.nodeName())) {
            answer.accept(421, WorkerCommand.redirect(owner.get()));
        } else if (!newer || worker.inspectionInFlight() || machineWriter.busy(heartbeat.machineId())) {
            answer.accept(503, error("machine is being taken up"));
        } else {
            workerClient.verify(heartbeat, worker, alive -> {
                if (!alive || replica.machines().containsKey(heartbeat.machineId())) {
                    answer.accept(503, error("machine could not be taken up"));
                    return;
                }
                var machine = new MachineRecord(
                        heartbeat.machineId(),
                        heartbeat.address(),
                        heartbeat.type(),
                        heartbeat.zone(),
                        heartbeat.spot(),
                        settings.nodeName(),
                        membership.incarnation(),
                        worker.lastHeartbeat().map(WorkerHeartbeat::token).orElse(heartbeat.token()) + 1,
                        timeSource.wallTime(),
                        Instant.EPOCH,
                        false,
                        "");
                eventRecorder.record(
                        LOG, "machine {} reported without having been rented by us; taken up", heartbeat.machineId());
                machineWriter.change(CommitPriority.PLACEMENT, machine, answerAfter(heartbeat, answer));
            });
        }
    }

    private Consumer<TransactionResult> answerAfter(WorkerHeartbeat heartbeat, BiConsumer<Integer, ObjectNode> answer) {
        return result -> {
            MachineRecord now = replica.machines().get(heartbeat.machineId());
            if (result instanceof TransactionResult.Applied && now != null && membership.owns(now)) {
                answer.accept(200, WorkerCommand.reply(now.token(), List.of()));
            } else {
                answer.accept(503, error("machine could not be taken up"));
            }
        };
    }

    /**
     * A worker that reports here though another controller owns its machine is sent there. When it comes
     * back soon, it could not reach the owner (a cut zone, a crash): then the machine changes hands. Late copies of
     * reports count for nothing, and the worker itself is asked before its tasks' token is raised.
     */
    private void redirectToOwner(
            WorkerHeartbeat heartbeat,
            MachineRecord record,
            WorkerState session,
            boolean newer,
            BiConsumer<Integer, ObjectNode> answer) {
        Duration now = timeSource.now();
        boolean ownerLives = membership.isAlive(record.owner(), record.incarnation());
        String next = ownerLives
                ? record.owner()
                : membership.hashed(heartbeat.machineId()).orElse(record.owner());
        Runnable sendOn = () -> answer.accept(421, WorkerCommand.redirect(next));
        if (!newer) {
            sendOn.run();
            return;
        }
        long stamp = replica.modRevision(Keys.machinePage(heartbeat.machineId()));
        session.redirected(stamp, now);
        if (replica.staleness().compareTo(WorkerClient.START_VIEW) >= 0
                && session.redirects() >= 2
                && accepts(heartbeat, record)) {
            // In an outage that all share nobody can take it over from a controller that has ended; until then it is
            // kept alive.
            renew(heartbeat, record, answer);
            return;
        }
        // A controller that has just ended takes all its workers here: its pages are soon taken as a whole, not machine
        // by machine.
        if (!membership.joined()
                || session.inspectionInFlight()
                || machineWriter.busy(heartbeat.machineId())
                || isSuspected.test(record.owner())) {
            sendOn.run();
        } else if (session.redirects() >= 2) {
            workerClient.verify(heartbeat, session, alive -> {
                MachineRecord present = replica.machines().get(heartbeat.machineId());
                // A worker that reaches only this controller, and that nobody reaches, is taken over once it has
                // insisted.
                boolean insists = session.redirects() >= STRAYS_UNSEEN && heartbeat.token() == record.token();
                if (present != null && !membership.owns(present) && (alive || insists)) {
                    eventRecorder.record(
                            LOG,
                            "machine {} cannot reach its controller {}; taken over",
                            heartbeat.machineId(),
                            present.owner());
                    workerClient.acquire(present, timeSource.wallTime().plus(KEEP), answerAfter(heartbeat, answer));
                } else {
                    sendOn.run();
                }
            });
        } else {
            sendOn.run();
        }
    }
}
