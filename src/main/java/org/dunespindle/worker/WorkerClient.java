package org.dunespindle.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.HeartbeatReconciler;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.ReconciliationResult;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.ExitCause;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.Durations;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dealings with machines: direct commands, what became of their tasks, and who commands which. A machine is attended to
 * when something about it changed, never just because time passed: there are many, and most are as they were.
 */
public final class WorkerClient {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerClient.class);
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(2500);
    private static final Duration INSPECT_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration CALL_PAUSE = Duration.ofMillis(1000);
    private static final Duration SILENT_PAUSE = Duration.ofSeconds(6);
    static final Duration REFUSED_PAUSE = Duration.ofMillis(200);
    static final Duration START_VIEW = Duration.ofSeconds(3);
    private static final Duration LATE_REPORT = Duration.ofSeconds(2);
    private static final Duration NEXT_CONTROLLER = Duration.ofSeconds(6);
    private static final Duration ONE_WAY_AFTER = Duration.ofSeconds(5);
    static final int COMMANDS_AT_ONCE = 200;
    private static final int MOST_KEPT_EXITS = 6;
    private final Settings settings;
    private final StateReplica replica;
    private final Membership membership;
    private final MachineRecordWriter machineWriter;
    private final HttpClient httpClient;
    private final TimeSource timeSource;
    private final WorkerRegistry workers;
    private final EventRecorder eventRecorder;
    private final PendingPreemptions pendingPreemptions;
    private final CancellationTracker cancellationTracker;
    private final PauseDetector pauseDetector;
    private final Runnable changed;
    private Set<String> pendingReconciliation = new LinkedHashSet<>();
    private final Set<String> machinesWithNotice = new LinkedHashSet<>();
    private final Set<String> machinesWithTerminations = new LinkedHashSet<>();
    private long version;
    private long calls;
    private final ConcurrentCallLimiter callLimiter;

    /** Creates a client for the workers' direct commands. */
    public WorkerClient(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            HttpClient httpClient,
            PendingPreemptions pendingPreemptions,
            CancellationTracker cancellationTracker,
            Runnable changed) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeSource = context.timeSource();
        this.workers = context.workers();
        this.eventRecorder = context.eventRecorder();
        this.pauseDetector = context.pauseDetector();
        this.machineWriter = machineWriter;
        this.httpClient = httpClient;
        this.pendingPreemptions = pendingPreemptions;
        this.cancellationTracker = cancellationTracker;
        this.changed = changed;
        this.callLimiter = new ConcurrentCallLimiter(settings.sockets());
    }

    /** Grows whenever what machines here can take, or what became of their tasks, may have changed. */
    public long version() {
        return version;
    }

    /** Calls made so far. */
    public long calls() {
        return calls;
    }

    /** Machines with outcomes that are not stored yet. */
    public Set<String> machinesWithTerminations() {
        return machinesWithTerminations;
    }

    /** Machines that are about to be taken away, as they last reported. */
    public Set<String> machinesWithNotice() {
        machinesWithNotice.removeIf(h -> workers.find(h)
                .flatMap(worker -> worker.lastHeartbeat())
                .flatMap(WorkerHeartbeat::notice)
                .isEmpty());
        return machinesWithNotice;
    }

    /** A machine is about to be taken away. */
    void notice(String host) {
        machinesWithNotice.add(host);
    }

    /** Asks for a machine to be looked at in the next pass. */
    public void scheduleReconciliation(String host) {
        pendingReconciliation.add(host);
    }

    /**
     * Has a machine looked at when a worker says something new, however it said it and whatever it is answered: the next report may
     * say the same again, and would be no news. Without this, what was told in an outage or in answer to a question was never acted on.
     */
    void reconcileIfChanged(WorkerHeartbeat heartbeat, Optional<WorkerHeartbeat> before) {
        if (before.filter(b -> b.sameAs(heartbeat)).isEmpty()) {
            version++;
            pendingReconciliation.add(heartbeat.machineId());
            changed.run();
        }
    }

    /** Tasks that it reports of jobs known to be cancelled: to stop them is right under any token and whatever else is under way. */
    List<WorkerCommand> cancelledOn(WorkerHeartbeat heartbeat) {
        var halts = new ArrayList<WorkerCommand>();
        heartbeat.tasks().forEach(task -> {
            if (!task.exited()
                    && replica.job(task.task().job())
                            .filter(cancellationTracker::cancelled)
                            .isPresent()) {
                halts.add(new WorkerCommand.Halt(task.task(), task.attempt(), Duration.ZERO));
            }
        });
        return halts;
    }

    /** Looks at the machines of jobs that others say are cancelled. */
    public void cancelledElsewhere(List<String> jobs) {
        jobs.forEach(id -> replica.job(id)
                .ifPresent(job ->
                        job.allocations().forEach(allocation -> pendingReconciliation.add(allocation.machineId()))));
        if (!jobs.isEmpty()) {
            changed.run();
        }
    }

    /** Asks a worker itself: only an answer shows that it is there, and that commands from here reach it. */
    void verify(WorkerHeartbeat heartbeat, WorkerState worker, Consumer<Boolean> then) {
        verify(heartbeat.machineId(), heartbeat.address(), worker, then);
    }

    private void verify(String host, String address, WorkerState worker, Consumer<Boolean> then) {
        if (callLimiter.full()) {
            then.accept(false);
            return;
        }
        worker.inspectionStarted();
        callLimiter.begin(false);
        httpClient
                .send(address, "GET", "/inspect", new byte[0], MessagePackCodec.TYPE, INSPECT_TIMEOUT)
                .whenComplete((response, e) -> {
                    worker.inspectionEnded();
                    callLimiter.end(false, pendingReconciliation::add);
                    then.accept(
                            response != null && response.status() == 200 && answered(host, worker, response.body()));
                });
    }

    /** Asks a machine itself whether it is there; false if it cannot be asked now. */
    boolean ask(MachineRecord machine, String address, Consumer<Boolean> then) {
        WorkerState worker = workers.getOrCreate(machine.id());
        if (address.isEmpty() || worker.inspectionInFlight() || callLimiter.full()) {
            return false;
        }
        verify(machine.id(), address, worker, then);
        return true;
    }

    /** Becomes a machine's owner by raising its token. */
    public void acquire(MachineRecord machine, Instant keep, Consumer<TransactionResult> then) {
        acquire(machine, address(machine), keep, then);
    }

    /** The same for a machine whose address somebody else told: it can be commanded before it finds its way here. */
    public void acquire(MachineRecord machine, String address, Instant keep, Consumer<TransactionResult> then) {
        MachineRecord mine = machine.ownedBy(settings.nodeName(), membership.incarnation(), keep)
                .withAddress(address);
        long seen = workers.find(machine.id())
                .flatMap(worker -> worker.lastHeartbeat())
                .map(WorkerHeartbeat::token)
                .orElse(0L);
        machineWriter.change(CommitPriority.PLACEMENT, mine.withTokenAbove(seen), then);
    }

    /** Where a machine is reached, as far as known here. */
    String address(MachineRecord machine) {
        return workers.find(machine.id())
                .flatMap(worker -> worker.lastHeartbeat())
                .map(WorkerHeartbeat::address)
                .orElse(machine.address());
    }

    /** Whether conclusions about this machine may be drawn and commands given here and now. */
    public boolean inCommand(MachineRecord machine) {
        return membership.owns(machine)
                && replica.appliedRevision() >= replica.modRevision(Keys.machinePage(machine.id()));
    }

    /** A worker under our token whose last report stands and whom commands reach: its machine can take tasks. */
    public boolean ready(MachineRecord machine) {
        Optional<WorkerState> s = workers.find(machine.id());
        return s.isPresent()
                && inCommand(machine)
                && !machine.draining()
                && s.get().lastHeartbeat().isPresent()
                && s.get().lastHeartbeat().get().token() == machine.token()
                && s.get().unansweredStartToken().isEmpty()
                && s.get().commandsUnconfirmedSince().isEmpty();
    }

    /** How long a machine has reported without taking commands; empty while it takes them. */
    public Optional<Duration> oneWayFor(String host) {
        return workers.find(host)
                .flatMap(worker -> worker.commandsUnconfirmedSince())
                .map(pauseDetector::silence);
    }

    /** One pass over the machines about which something changed: sends commands, notes what became of allocations. */
    public void pass() {
        pendingReconciliation.addAll(replica.drainChangedMachines());
        if (pendingReconciliation.isEmpty()) {
            return;
        }
        Set<String> now = pendingReconciliation;
        pendingReconciliation = new LinkedHashSet<>();
        now.forEach(this::attendNow);
    }

    private void attendNow(String host) {
        MachineRecord machine = replica.machines().get(host);
        Optional<WorkerState> known = workers.find(host);
        if (machine == null || !membership.owns(machine)) {
            known.ifPresent(worker -> events(host, worker, List.of()));
            return;
        }
        if (!inCommand(machine)) {
            pendingReconciliation.add(
                    host); // until everything up to the record that made this controller the owner is read
            return;
        }
        WorkerState worker = workers.getOrCreate(host);
        if (worker.callInFlight()) {
            return; // the answer brings it back
        }
        if (worker.unansweredStartToken().isPresent() && !fenced(machine, worker)) {
            return;
        }
        if (worker.lastHeartbeat().isPresent() && worker.lastHeartbeat().get().token() > machine.token()) {
            if (!machineWriter.busy(host)) {
                machineWriter.change(
                        CommitPriority.PLACEMENT,
                        machine.withNextToken()
                                .withTokenAbove(worker.lastHeartbeat().get().token()),
                        result -> pendingReconciliation.add(host));
            }
        } else if (worker.isProofUnder(machine.token())) {
            conclude(machine, worker);
        } else {
            events(host, worker, List.of());
            call(machine, worker, List.of());
        }
    }

    /** A machine's allocations, with those marked that are to end though their record does not say so. */
    List<PlacedTask> allocations(String host) {
        return pendingPreemptions.marked(host, cancellationTracker.marked(replica.allocationsOn(host)));
    }

    /** Whether nothing of any kind has come from a machine for longer than reports take. */
    boolean silent(WorkerState worker) {
        return olderThan(worker.lastSeenAlive(), LATE_REPORT);
    }

    /**
     * Whether a machine's reports no longer arrive, though it may answer when it is asked: then its lease is running out. A worker whose
     * controller does not answer, or that was taken over, needs some seconds to find the next one.
     */
    public boolean mute(WorkerState worker) {
        return olderThan(worker.lastHeartbeatAt(), NEXT_CONTROLLER);
    }

    private boolean olderThan(Optional<Duration> sign, Duration beyondTwoReports) {
        Duration limit = Durations.times(settings.workers().report(), 2).plus(beyondTwoReports);
        return sign.isEmpty() || pauseDetector.silence(sign.get()).compareTo(limit) >= 0;
    }

    private void conclude(MachineRecord machine, WorkerState worker) {
        WorkerHeartbeat heartbeat = worker.lastHeartbeat().get();
        ReconciliationResult result = HeartbeatReconciler.reconcile(allocations(machine.id()), heartbeat);
        heartbeat.tasks().forEach(task -> {
            if (task.phase() == TaskPhase.RUNNING || task.phase() == TaskPhase.ASSEMBLING) {
                replica.job(task.task().job())
                        .flatMap(job -> job.spec())
                        .ifPresent(spec -> worker.fetched(spec.image()));
            }
        });
        List<WorkerCommand> commands = keepExits(machine, worker, result.commands());
        var terminations = result.terminations();
        // An old view may miss a cancellation: it stops tasks, but starts none.
        boolean startsWait = replica.staleness().compareTo(START_VIEW) >= 0;
        boolean mute = mute(worker);
        if (worker.commandsUnconfirmedSince().isPresent() || mute) {
            startsWait = true;
            if (mute
                    || oneWayFor(machine.id())
                            .filter(d -> d.compareTo(ONE_WAY_AFTER) > 0)
                            .isPresent()) {
                terminations = result.withoutStarts(replica.allocationsOn(machine.id()));
            }
        }
        events(machine.id(), worker, terminations);
        if (startsWait && commands.stream().anyMatch(o -> o instanceof WorkerCommand.Run)) {
            pendingReconciliation.add(machine.id());
            commands = commands.stream()
                    .filter(o -> !(o instanceof WorkerCommand.Run))
                    .toList();
        }
        if (worker.commandsUnconfirmedSince().isPresent()) {
            call(machine, worker, List.of()); // nothing is started before a command is known to arrive
        } else if (commands.stream().anyMatch(o -> !(o instanceof WorkerCommand.Forget))) {
            call(machine, worker, commands);
        }
    }

    private void events(String host, WorkerState worker, List<TaskTermination> terminations) {
        if (worker.terminations().isEmpty() && terminations.isEmpty()) {
            return;
        }
        if (!worker.terminations().equals(terminations)) {
            version++;
            worker.recordTerminations(terminations, timeSource.now());
        }
        if (terminations.isEmpty()) {
            machinesWithTerminations.remove(host);
        } else {
            machinesWithTerminations.add(host);
        }
    }

    /**
     * A worker that has forgotten an attempt would start it again on a late copy of the command. So one that ended without
     * being done is kept in its reports until a higher token has voided all copies; when several are, the token is raised.
     */
    List<WorkerCommand> keepExits(MachineRecord machine, WorkerState worker, List<WorkerCommand> commands) {
        if (!worker.hasStartsUnder(machine.token()) || commands.isEmpty()) {
            return commands;
        }
        var done = new HashSet<WorkerCommand.Run>();
        worker.lastHeartbeat()
                .ifPresent(heartbeat -> heartbeat.tasks().forEach(task -> {
                    if (task.exited() && task.cause().orElse(ExitCause.STOPPED) == ExitCause.DONE) {
                        done.add(new WorkerCommand.Run(task.task(), task.attempt()));
                    }
                }));
        var kept = new ArrayList<WorkerCommand>();
        int held = 0;
        for (WorkerCommand o : commands) {
            if (o instanceof WorkerCommand.Forget f
                    && worker.mayStartAgain(f, machine.token())
                    && !done.contains(new WorkerCommand.Run(f.task(), f.attempt()))) {
                held++;
            } else {
                kept.add(o);
            }
        }
        if (held > MOST_KEPT_EXITS && !machineWriter.busy(machine.id())) {
            machineWriter.change(CommitPriority.MAINTENANCE, machine.withNextToken(), result -> {});
        }
        return kept;
    }

    /**
     * A start that went unanswered may still land: a higher token, once the worker has seen it, rules that out. A machine
     * that stays silent needs none: it is returned.
     */
    private boolean fenced(MachineRecord machine, WorkerState worker) {
        if (machine.token() > worker.unansweredStartToken().get()) {
            worker.startFenced();
            return true;
        }
        if (worker.seenAliveSinceUnansweredStart()) {
            if (!machineWriter.busy(machine.id())) {
                machineWriter.change(
                        CommitPriority.PLACEMENT,
                        machine.withNextToken(),
                        result -> pendingReconciliation.add(machine.id()));
            }
        } else {
            call(machine, worker, List.of());
        }
        return false;
    }

    private void call(MachineRecord record, WorkerState worker, List<WorkerCommand> commands) {
        String address = address(record);
        if (address.isEmpty() || worker.callDelayed(timeSource.now())) {
            return; // a timer brings it back
        }
        // A silent machine is asked seldom; its next report ends the pause.
        boolean silent = worker.lastSeenAlive()
                .filter(t -> pauseDetector
                                .silence(t)
                                .compareTo(Durations.times(settings.workers().report(), 2))
                        < 0)
                .isEmpty();
        if (callLimiter.full(silent)) {
            callLimiter.queue(record.id());
            return;
        }
        // Whatever the call is for: what is cancelled ends now.
        List<WorkerCommand> all = commands.isEmpty() && worker.lastHeartbeat().isPresent()
                ? cancelledOn(worker.lastHeartbeat().get())
                : commands;
        List<WorkerCommand> some = all.size() > COMMANDS_AT_ONCE ? all.subList(0, COMMANDS_AT_ONCE) : all;
        boolean starts = some.stream().anyMatch(o -> o instanceof WorkerCommand.Run);
        long session = worker.lastHeartbeat().map(WorkerHeartbeat::agentEpoch).orElse(1L);
        long token = record.token();
        worker.callStarted(token, session, some);
        calls++;
        callLimiter.begin(silent);
        httpClient
                .send(
                        address,
                        "POST",
                        "/orders",
                        MessagePackCodec.write(WorkerCommand.command(token, session, some)),
                        MessagePackCodec.TYPE,
                        COMMAND_TIMEOUT)
                .whenComplete((response, e) -> {
                    worker.callEnded();
                    callLimiter.end(silent, pendingReconciliation::add);
                    version++;
                    if (response != null && (response.status() == 200 || response.status() == 409)) {
                        if (!answered(record.id(), worker, response.body()) && starts) {
                            unanswered(record, worker, token);
                        }
                        pause(record.id(), worker, response.status() == 200 ? Duration.ZERO : REFUSED_PAUSE);
                    } else {
                        if (worker.lastHeartbeat().isPresent()) {
                            worker.callUnanswered(timeSource.now()); // one that never reported may still be booting
                        }
                        boolean sent =
                                e == null || !(HttpCallException.cause(e) instanceof HttpCallException f) || f.sent();
                        if (starts && sent && (response == null || response.status() >= 500)) {
                            unanswered(record, worker, token);
                        }
                        pause(record.id(), worker, silent ? SILENT_PAUSE : CALL_PAUSE);
                    }
                });
    }

    private void unanswered(MachineRecord machine, WorkerState worker, long token) {
        worker.startUnanswered(token, timeSource.now());
        eventRecorder.record(
                LOG, "machine {} did not answer a start; it is fenced before anything is concluded", machine.id());
    }

    private void pause(String host, WorkerState worker, Duration pause) {
        worker.nextCallNotBefore(timeSource.now().plus(pause));
        if (pause.isZero()) {
            pendingReconciliation.add(host);
            changed.run();
        } else {
            timeSource.schedule(pause, () -> {
                pendingReconciliation.add(host);
                changed.run();
            });
        }
    }

    private boolean answered(String host, WorkerState worker, byte[] body) {
        try {
            WorkerHeartbeat heartbeat = WorkerHeartbeat.parse(MessagePackCodec.read(body));
            if (heartbeat.machineId().equals(host)) {
                if (heartbeat.notice().isPresent()) {
                    machinesWithNotice.add(host);
                }
                Optional<WorkerHeartbeat> before = worker.lastHeartbeat();
                worker.answered(heartbeat, timeSource.now());
                reconcileIfChanged(heartbeat, before);
                return true;
            }
        } catch (MalformedMessageException ex) {
            LOG.debug("machine {} answered unreadably: {}", host, ex.getMessage());
        }
        return false;
    }
}
