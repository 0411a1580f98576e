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
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.HeartbeatReconciler;
import org.dunespindle.control.ReconciliationResult;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.TaskTermination;
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
    private final HttpClient http;
    private final TimeSource timeline;
    private final WorkerRegistry sessions;
    private final EventRecorder decisions;
    private final PendingPreemptions preemptions;
    private final CancellationTracker cancellations;
    private final PauseDetector stalls;
    private final Runnable changed;
    private Set<String> pendingReconciliation = new LinkedHashSet<>();
    private final Set<String> machinesWithNotice = new LinkedHashSet<>();
    private final Set<String> machinesWithTerminations = new LinkedHashSet<>();
    private long version;
    private long calls;
    private final ConcurrentCallLimiter slots;

    /** Creates a client for the workers' direct commands. */
    public WorkerClient(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            HttpClient http,
            PendingPreemptions preemptions,
            CancellationTracker cancellations,
            Runnable changed) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeline = context.timeSource();
        this.sessions = context.workers();
        this.decisions = context.eventRecorder();
        this.stalls = context.pauseDetector();
        this.machineWriter = machineWriter;
        this.http = http;
        this.preemptions = preemptions;
        this.cancellations = cancellations;
        this.changed = changed;
        this.slots = new ConcurrentCallLimiter(settings.sockets());
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
        machinesWithNotice.removeIf(h -> sessions.find(h)
                .flatMap(s -> s.lastHeartbeat)
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
    void reconcileIfChanged(WorkerHeartbeat r, Optional<WorkerHeartbeat> before) {
        if (before.filter(b -> b.sameAs(r)).isEmpty()) {
            version++;
            pendingReconciliation.add(r.machineId());
            changed.run();
        }
    }

    /** Tasks that it reports of jobs known to be cancelled: to stop them is right under any token and whatever else is under way. */
    List<WorkerCommand> cancelledOn(WorkerHeartbeat r) {
        var halts = new ArrayList<WorkerCommand>();
        r.tasks().forEach(t -> {
            if (!t.exited()
                    && replica.job(t.task().job())
                            .filter(cancellations::cancelled)
                            .isPresent()) {
                halts.add(new WorkerCommand.Halt(t.task(), t.attempt(), Duration.ZERO));
            }
        });
        return halts;
    }

    /** Looks at the machines of jobs that others say are cancelled. */
    public void cancelledElsewhere(List<String> jobs) {
        jobs.forEach(id -> replica.job(id).ifPresent(j -> j.allocations().forEach(c -> pendingReconciliation.add(c.machineId()))));
        if (!jobs.isEmpty()) {
            changed.run();
        }
    }

    /** Asks a worker itself: only an answer shows that it is there, and that commands from here reach it. */
    void verify(WorkerHeartbeat r, WorkerState session, Consumer<Boolean> then) {
        verify(r.machineId(), r.address(), session, then);
    }

    private void verify(String host, String address, WorkerState session, Consumer<Boolean> then) {
        if (slots.full()) {
            then.accept(false);
            return;
        }
        session.inspectionInFlight = true;
        slots.begin(false);
        http.send(address, "GET", "/inspect", new byte[0], MessagePackCodec.TYPE, INSPECT_TIMEOUT)
                .whenComplete((a, e) -> {
                    session.inspectionInFlight = false;
                    slots.end(false, pendingReconciliation::add);
                    then.accept(a != null && a.status() == 200 && answered(host, session, a.body()));
                });
    }

    /** Asks a machine itself whether it is there; false if it cannot be asked now. */
    boolean ask(MachineRecord record, String address, Consumer<Boolean> then) {
        WorkerState s = sessions.getOrCreate(record.id());
        if (address.isEmpty() || s.inspectionInFlight || slots.full()) {
            return false;
        }
        verify(record.id(), address, s, then);
        return true;
    }

    /** Becomes a machine's owner by raising its token. */
    public void acquire(MachineRecord record, Instant keep, Consumer<TransactionResult> then) {
        acquire(record, address(record), keep, then);
    }

    /** The same for a machine whose address somebody else told: it can be commanded before it finds its way here. */
    public void acquire(MachineRecord record, String address, Instant keep, Consumer<TransactionResult> then) {
        MachineRecord mine = record.ownedBy(settings.nodeName(), membership.incarnation(), keep)
                .withAddress(address);
        long seen = sessions.find(record.id())
                .flatMap(s -> s.lastHeartbeat)
                .map(WorkerHeartbeat::token)
                .orElse(0L);
        machineWriter.change(CommitPriority.PLACEMENT, mine.withTokenAbove(seen), then);
    }

    /** Where a machine is reached, as far as known here. */
    String address(MachineRecord record) {
        return sessions.find(record.id())
                .flatMap(s -> s.lastHeartbeat)
                .map(WorkerHeartbeat::address)
                .orElse(record.address());
    }

    /** Whether conclusions about this machine may be drawn and commands given here and now. */
    public boolean inCommand(MachineRecord record) {
        return membership.owns(record) && replica.appliedRevision() >= replica.modRevision(Keys.machinePage(record.id()));
    }

    /** A worker under our token whose last report stands and whom commands reach: its machine can take tasks. */
    public boolean ready(MachineRecord record) {
        Optional<WorkerState> s = sessions.find(record.id());
        return s.isPresent()
                && inCommand(record)
                && !record.draining()
                && s.get().lastHeartbeat.isPresent()
                && s.get().lastHeartbeat.get().token() == record.token()
                && s.get().unansweredStartToken.isEmpty()
                && s.get().commandsUnconfirmedSince.isEmpty();
    }

    /** How long a machine has reported without taking commands; empty while it takes them. */
    public Optional<Duration> oneWayFor(String host) {
        return sessions.find(host).flatMap(s -> s.commandsUnconfirmedSince).map(stalls::silence);
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
        MachineRecord record = replica.machines().get(host);
        Optional<WorkerState> known = sessions.find(host);
        if (record == null || !membership.owns(record)) {
            known.ifPresent(s -> events(host, s, List.of()));
            return;
        }
        if (!inCommand(record)) {
            pendingReconciliation.add(host); // until everything up to the record that made this controller the owner is read
            return;
        }
        WorkerState s = sessions.getOrCreate(host);
        if (s.callInFlight) {
            return; // the answer brings it back
        }
        if (s.unansweredStartToken.isPresent() && !fenced(record, s)) {
            return;
        }
        if (s.lastHeartbeat.isPresent() && s.lastHeartbeat.get().token() > record.token()) {
            if (!machineWriter.busy(host)) {
                machineWriter.change(
                        CommitPriority.PLACEMENT,
                        record.withNextToken().withTokenAbove(s.lastHeartbeat.get().token()),
                        r -> pendingReconciliation.add(host));
            }
        } else if (s.isProofUnder(record.token())) {
            conclude(record, s);
        } else {
            events(host, s, List.of());
            call(record, s, List.of());
        }
    }

    /** A machine's allocations, with those marked that are to end though their record does not say so. */
    List<PlacedTask> allocations(String host) {
        return preemptions.marked(host, cancellations.marked(replica.allocationsOn(host)));
    }

    /** Whether nothing of any kind has come from a machine for longer than reports take. */
    boolean silent(WorkerState s) {
        return olderThan(s.lastSeenAlive(), LATE_REPORT);
    }

    /**
     * Whether a machine's reports no longer arrive, though it may answer when it is asked: then its lease is running out. A worker whose
     * controller does not answer, or that was taken over, needs some seconds to find the next one.
     */
    public boolean mute(WorkerState s) {
        return olderThan(s.lastHeartbeatAt, NEXT_CONTROLLER);
    }

    private boolean olderThan(Optional<Duration> sign, Duration beyondTwoReports) {
        Duration limit = Durations.times(settings.workers().report(), 2).plus(beyondTwoReports);
        return sign.isEmpty() || stalls.silence(sign.get()).compareTo(limit) >= 0;
    }

    private void conclude(MachineRecord record, WorkerState s) {
        WorkerHeartbeat report = s.lastHeartbeat.get();
        ReconciliationResult v = HeartbeatReconciler.reconcile(allocations(record.id()), report);
        report.tasks().forEach(t -> {
            if (t.phase() == TaskPhase.RUNNING || t.phase() == TaskPhase.ASSEMBLING) {
                replica.job(t.task().job()).flatMap(j -> j.spec()).ifPresent(spec -> s.fetched(spec.image()));
            }
        });
        List<WorkerCommand> commands = keepExits(record, s, v.commands());
        var events = v.terminations();
        // An old view may miss a cancellation: it stops tasks, but starts none.
        boolean startsWait = replica.staleness().compareTo(START_VIEW) >= 0;
        boolean mute = mute(s);
        if (s.commandsUnconfirmedSince.isPresent() || mute) {
            startsWait = true;
            if (mute
                    || oneWayFor(record.id())
                            .filter(d -> d.compareTo(ONE_WAY_AFTER) > 0)
                            .isPresent()) {
                events = v.withoutStarts(replica.allocationsOn(record.id()));
            }
        }
        events(record.id(), s, events);
        if (startsWait && commands.stream().anyMatch(o -> o instanceof WorkerCommand.Run)) {
            pendingReconciliation.add(record.id());
            commands = commands.stream()
                    .filter(o -> !(o instanceof WorkerCommand.Run))
                    .toList();
        }
        if (s.commandsUnconfirmedSince.isPresent()) {
            call(record, s, List.of()); // nothing is started before a command is known to arrive
        } else if (commands.stream().anyMatch(o -> !(o instanceof WorkerCommand.Forget))) {
            call(record, s, commands);
        }
    }

    private void events(String host, WorkerState s, List<TaskTermination> events) {
        if (s.terminations.isEmpty() && events.isEmpty()) {
            return;
        }
        if (!s.terminations.equals(events)) {
            version++;
            if (s.terminations.isEmpty()) {
                s.terminationsSince = timeline.now();
            }
            s.terminations = events;
        }
        if (events.isEmpty()) {
            machinesWithTerminations.remove(host);
        } else {
            machinesWithTerminations.add(host);
        }
    }

    /**
     * A worker that has forgotten an attempt would start it again on a late copy of the command. So one that ended without
     * being done is kept in its reports until a higher token has voided all copies; when several are, the token is raised.
     */
    List<WorkerCommand> keepExits(MachineRecord record, WorkerState s, List<WorkerCommand> commands) {
        if (s.starts.isEmpty() || s.startsToken != record.token() || commands.isEmpty()) {
            return commands;
        }
        var done = new HashSet<WorkerCommand.Run>();
        s.lastHeartbeat.ifPresent(r -> r.tasks().forEach(t -> {
            if (t.exited() && t.cause().orElse(ExitCause.STOPPED) == ExitCause.DONE) {
                done.add(new WorkerCommand.Run(t.task(), t.attempt()));
            }
        }));
        var kept = new ArrayList<WorkerCommand>();
        int held = 0;
        for (WorkerCommand o : commands) {
            if (o instanceof WorkerCommand.Forget f
                    && s.mayStartAgain(f, record.token())
                    && !done.contains(new WorkerCommand.Run(f.task(), f.attempt()))) {
                held++;
            } else {
                kept.add(o);
            }
        }
        if (held > MOST_KEPT_EXITS && !machineWriter.busy(record.id())) {
            machineWriter.change(CommitPriority.MAINTENANCE, record.withNextToken(), r -> {});
        }
        return kept;
    }

    /**
     * A start that went unanswered may still land: a higher token, once the worker has seen it, rules that out. A machine
     * that stays silent needs none: it is returned.
     */
    private boolean fenced(MachineRecord record, WorkerState s) {
        if (record.token() > s.unansweredStartToken.get()) {
            s.unansweredStartToken = Optional.empty();
            return true;
        }
        if (s.lastSeenAlive().filter(t -> t.compareTo(s.unansweredAt) > 0).isPresent()) {
            if (!machineWriter.busy(record.id())) {
                machineWriter.change(CommitPriority.PLACEMENT, record.withNextToken(), r -> pendingReconciliation.add(record.id()));
            }
        } else {
            call(record, s, List.of());
        }
        return false;
    }

    private void call(MachineRecord record, WorkerState s, List<WorkerCommand> commands) {
        String address = address(record);
        if (address.isEmpty() || timeline.now().compareTo(s.nextCallAt) < 0) {
            return; // a timer brings it back
        }
        // A silent machine is asked seldom; its next report ends the pause.
        boolean silent = s.lastSeenAlive()
                .filter(t -> stalls.silence(t)
                                .compareTo(Durations.times(settings.workers().report(), 2))
                        < 0)
                .isEmpty();
        if (slots.full(silent)) {
            slots.queue(record.id());
            return;
        }
        // Whatever the call is for: what is cancelled ends now.
        List<WorkerCommand> all = commands.isEmpty() && s.lastHeartbeat.isPresent() ? cancelledOn(s.lastHeartbeat.get()) : commands;
        List<WorkerCommand> some = all.size() > COMMANDS_AT_ONCE ? all.subList(0, COMMANDS_AT_ONCE) : all;
        boolean starts = some.stream().anyMatch(o -> o instanceof WorkerCommand.Run);
        long session = s.lastHeartbeat.map(WorkerHeartbeat::agentEpoch).orElse(1L);
        long token = record.token();
        s.starting(token, session, some);
        s.callInFlight = true;
        calls++;
        slots.begin(silent);
        http.send(
                        address,
                        "POST",
                        "/orders",
                        MessagePackCodec.write(WorkerCommand.command(token, session, some)),
                        MessagePackCodec.TYPE,
                        COMMAND_TIMEOUT)
                .whenComplete((a, e) -> {
                    s.callInFlight = false;
                    slots.end(silent, pendingReconciliation::add);
                    version++;
                    if (a != null && (a.status() == 200 || a.status() == 409)) {
                        if (!answered(record.id(), s, a.body()) && starts) {
                            unanswered(record, s, token);
                        }
                        pause(record.id(), s, a.status() == 200 ? Duration.ZERO : REFUSED_PAUSE);
                    } else {
                        if (s.lastHeartbeat.isPresent()) {
                            s.unanswered(timeline.now()); // one that never reported may still be booting
                        }
                        boolean sent = e == null || !(HttpCallException.cause(e) instanceof HttpCallException f) || f.sent();
                        if (starts && sent && (a == null || a.status() >= 500)) {
                            unanswered(record, s, token);
                        }
                        pause(record.id(), s, silent ? SILENT_PAUSE : CALL_PAUSE);
                    }
                });
    }

    private void unanswered(MachineRecord record, WorkerState s, long token) {
        s.unansweredStartToken = Optional.of(token);
        s.unansweredAt = timeline.now();
        decisions.record(
                LOG, "machine {} did not answer a start; it is fenced before anything is concluded", record.id());
    }

    private void pause(String host, WorkerState s, Duration pause) {
        s.nextCallAt = timeline.now().plus(pause);
        if (pause.isZero()) {
            pendingReconciliation.add(host);
            changed.run();
        } else {
            timeline.schedule(pause, () -> {
                pendingReconciliation.add(host);
                changed.run();
            });
        }
    }

    private boolean answered(String host, WorkerState s, byte[] body) {
        try {
            WorkerHeartbeat r = WorkerHeartbeat.parse(MessagePackCodec.read(body));
            if (r.machineId().equals(host)) {
                if (r.notice().isPresent()) {
                    machinesWithNotice.add(host);
                }
                Optional<WorkerHeartbeat> before = s.lastHeartbeat;
                s.answered(r, timeline.now());
                reconcileIfChanged(r, before);
                return true;
            }
        } catch (MalformedMessageException ex) {
            LOG.debug("machine {} answered unreadably: {}", host, ex.getMessage());
        }
        return false;
    }
}
