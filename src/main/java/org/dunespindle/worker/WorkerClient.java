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
import org.dunespindle.control.Decisions;
import org.dunespindle.control.MachineWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Reconciler;
import org.dunespindle.control.ReconciliationResult;
import org.dunespindle.control.Sessions;
import org.dunespindle.control.StallDetector;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.ExitCause;
import org.dunespindle.protocol.MalformedException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerReport;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.PlacedTask;
import org.dunespindle.storage.Replica;
import org.dunespindle.storage.TxnResult;
import org.dunespindle.time.Durations;
import org.dunespindle.time.Timeline;
import org.dunespindle.transport.CallFailure;
import org.dunespindle.transport.Caller;
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
    private final Replica replica;
    private final Membership membership;
    private final MachineWriter machineWriter;
    private final Caller http;
    private final Timeline timeline;
    private final Sessions sessions;
    private final Decisions decisions;
    private final Preemptions preemptions;
    private final Cancellations cancellations;
    private final StallDetector stalls;
    private final Runnable changed;
    private Set<String> due = new LinkedHashSet<>();
    private final Set<String> noticed = new LinkedHashSet<>();
    private final Set<String> withEvents = new LinkedHashSet<>();
    private long version;
    private long calls;
    private final CallSlots slots;

    /** Creates a client for the workers' direct commands. */
    public WorkerClient(
            ControllerContext context,
            MachineWriter machineWriter,
            Caller http,
            Preemptions preemptions,
            Cancellations cancellations,
            Runnable changed) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeline = context.timeline();
        this.sessions = context.sessions();
        this.decisions = context.decisions();
        this.stalls = context.stalls();
        this.machineWriter = machineWriter;
        this.http = http;
        this.preemptions = preemptions;
        this.cancellations = cancellations;
        this.changed = changed;
        this.slots = new CallSlots(settings.sockets());
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
    public Set<String> withEvents() {
        return withEvents;
    }

    /** Machines that are about to be taken away, as they last reported. */
    public Set<String> noticed() {
        noticed.removeIf(h -> sessions.known(h)
                .flatMap(s -> s.report)
                .flatMap(WorkerReport::notice)
                .isEmpty());
        return noticed;
    }

    /** A machine is about to be taken away. */
    void notice(String host) {
        noticed.add(host);
    }

    /** Asks for a machine to be looked at in the next pass. */
    public void attend(String host) {
        due.add(host);
    }

    /**
     * Has a machine looked at when a worker says something new, however it said it and whatever it is answered: the next report may
     * say the same again, and would be no news. Without this, what was told in an outage or in answer to a question was never acted on.
     */
    void attendIfNews(WorkerReport r, Optional<WorkerReport> before) {
        if (before.filter(b -> b.sameAs(r)).isEmpty()) {
            version++;
            due.add(r.host());
            changed.run();
        }
    }

    /** Tasks that it reports of jobs known to be cancelled: to stop them is right under any token and whatever else is under way. */
    List<WorkerCommand> cancelledOn(WorkerReport r) {
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
        jobs.forEach(id -> replica.job(id).ifPresent(j -> j.allocations().forEach(c -> due.add(c.host()))));
        if (!jobs.isEmpty()) {
            changed.run();
        }
    }

    /** Asks a worker itself: only an answer shows that it is there, and that commands from here reach it. */
    void verify(WorkerReport r, WorkerState session, Consumer<Boolean> then) {
        verify(r.host(), r.address(), session, then);
    }

    private void verify(String host, String address, WorkerState session, Consumer<Boolean> then) {
        if (slots.full()) {
            then.accept(false);
            return;
        }
        session.verifying = true;
        slots.begin(false);
        http.send(address, "GET", "/inspect", new byte[0], MessagePackCodec.TYPE, INSPECT_TIMEOUT)
                .whenComplete((a, e) -> {
                    session.verifying = false;
                    slots.end(false, due::add);
                    then.accept(a != null && a.status() == 200 && answered(host, session, a.body()));
                });
    }

    /** Asks a machine itself whether it is there; false if it cannot be asked now. */
    boolean ask(MachineRecord record, String address, Consumer<Boolean> then) {
        WorkerState s = sessions.of(record.id());
        if (address.isEmpty() || s.verifying || slots.full()) {
            return false;
        }
        verify(record.id(), address, s, then);
        return true;
    }

    /** Becomes a machine's owner by raising its token. */
    public void take(MachineRecord record, Instant keep, Consumer<TxnResult> then) {
        take(record, address(record), keep, then);
    }

    /** The same for a machine whose address somebody else told: it can be commanded before it finds its way here. */
    public void take(MachineRecord record, String address, Instant keep, Consumer<TxnResult> then) {
        MachineRecord mine = record.ownedBy(settings.nodeName(), membership.incarnation(), keep)
                .at(address);
        long seen = sessions.known(record.id())
                .flatMap(s -> s.report)
                .map(WorkerReport::token)
                .orElse(0L);
        machineWriter.change(CommitPriority.PLACING, mine.above(seen), then);
    }

    /** Where a machine is reached, as far as known here. */
    String address(MachineRecord record) {
        return sessions.known(record.id())
                .flatMap(s -> s.report)
                .map(WorkerReport::address)
                .orElse(record.address());
    }

    /** Whether conclusions about this machine may be drawn and commands given here and now. */
    public boolean inCommand(MachineRecord record) {
        return membership.owns(record) && replica.syncedTo() >= replica.stamp(Keys.host(record.id()));
    }

    /** A worker under our token whose last report stands and whom commands reach: its machine can take tasks. */
    public boolean ready(MachineRecord record) {
        Optional<WorkerState> s = sessions.known(record.id());
        return s.isPresent()
                && inCommand(record)
                && !record.leaving()
                && s.get().report.isPresent()
                && s.get().report.get().token() == record.token()
                && s.get().unansweredUnder.isEmpty()
                && s.get().unprovenSince.isEmpty();
    }

    /** How long a machine has reported without taking commands; empty while it takes them. */
    public Optional<Duration> oneWayFor(String host) {
        return sessions.known(host).flatMap(s -> s.unprovenSince).map(stalls::silence);
    }

    /** One pass over the machines about which something changed: sends commands, notes what became of allocations. */
    public void pass() {
        due.addAll(replica.takeTouched());
        if (due.isEmpty()) {
            return;
        }
        Set<String> now = due;
        due = new LinkedHashSet<>();
        now.forEach(this::attendNow);
    }

    private void attendNow(String host) {
        MachineRecord record = replica.hosts().get(host);
        Optional<WorkerState> known = sessions.known(host);
        if (record == null || !membership.owns(record)) {
            known.ifPresent(s -> events(host, s, List.of()));
            return;
        }
        if (!inCommand(record)) {
            due.add(host); // until everything up to the record that made this controller the owner is read
            return;
        }
        WorkerState s = sessions.of(host);
        if (s.calling) {
            return; // the answer brings it back
        }
        if (s.unansweredUnder.isPresent() && !fenced(record, s)) {
            return;
        }
        if (s.report.isPresent() && s.report.get().token() > record.token()) {
            if (!machineWriter.busy(host)) {
                machineWriter.change(
                        CommitPriority.PLACING,
                        record.fenced().above(s.report.get().token()),
                        r -> due.add(host));
            }
        } else if (s.proves(record.token())) {
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
        return olderThan(s.aliveAt(), LATE_REPORT);
    }

    /**
     * Whether a machine's reports no longer arrive, though it may answer when it is asked: then its lease is running out. A worker whose
     * controller does not answer, or that was taken over, needs some seconds to find the next one.
     */
    public boolean mute(WorkerState s) {
        return olderThan(s.heardAt, NEXT_CONTROLLER);
    }

    private boolean olderThan(Optional<Duration> sign, Duration beyondTwoReports) {
        Duration limit = Durations.times(settings.workers().report(), 2).plus(beyondTwoReports);
        return sign.isEmpty() || stalls.silence(sign.get()).compareTo(limit) >= 0;
    }

    private void conclude(MachineRecord record, WorkerState s) {
        WorkerReport report = s.report.get();
        ReconciliationResult v = Reconciler.judge(allocations(record.id()), report);
        report.tasks().forEach(t -> {
            if (t.phase() == TaskPhase.RUNNING || t.phase() == TaskPhase.ASSEMBLING) {
                replica.job(t.task().job()).flatMap(j -> j.spec()).ifPresent(spec -> s.fetched(spec.image()));
            }
        });
        List<WorkerCommand> commands = keepExits(record, s, v.commands());
        var events = v.events();
        // An old view may miss a cancellation: it stops tasks, but starts none.
        boolean startsWait = replica.age().compareTo(START_VIEW) >= 0;
        boolean mute = mute(s);
        if (s.unprovenSince.isPresent() || mute) {
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
            due.add(record.id());
            commands = commands.stream()
                    .filter(o -> !(o instanceof WorkerCommand.Run))
                    .toList();
        }
        if (s.unprovenSince.isPresent()) {
            call(record, s, List.of()); // nothing is started before a command is known to arrive
        } else if (commands.stream().anyMatch(o -> !(o instanceof WorkerCommand.Forget))) {
            call(record, s, commands);
        }
    }

    private void events(String host, WorkerState s, List<TaskTermination> events) {
        if (s.events.isEmpty() && events.isEmpty()) {
            return;
        }
        if (!s.events.equals(events)) {
            version++;
            if (s.events.isEmpty()) {
                s.eventsSince = timeline.now();
            }
            s.events = events;
        }
        if (events.isEmpty()) {
            withEvents.remove(host);
        } else {
            withEvents.add(host);
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
        s.report.ifPresent(r -> r.tasks().forEach(t -> {
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
            machineWriter.change(CommitPriority.MAINTENANCE, record.fenced(), r -> {});
        }
        return kept;
    }

    /**
     * A start that went unanswered may still land: a higher token, once the worker has seen it, rules that out. A machine
     * that stays silent needs none: it is returned.
     */
    private boolean fenced(MachineRecord record, WorkerState s) {
        if (record.token() > s.unansweredUnder.get()) {
            s.unansweredUnder = Optional.empty();
            return true;
        }
        if (s.aliveAt().filter(t -> t.compareTo(s.unansweredAt) > 0).isPresent()) {
            if (!machineWriter.busy(record.id())) {
                machineWriter.change(CommitPriority.PLACING, record.fenced(), r -> due.add(record.id()));
            }
        } else {
            call(record, s, List.of());
        }
        return false;
    }

    private void call(MachineRecord record, WorkerState s, List<WorkerCommand> commands) {
        String address = address(record);
        if (address.isEmpty() || timeline.now().compareTo(s.callAgainAt) < 0) {
            return; // a timer brings it back
        }
        // A silent machine is asked seldom; its next report ends the pause.
        boolean silent = s.aliveAt()
                .filter(t -> stalls.silence(t)
                                .compareTo(Durations.times(settings.workers().report(), 2))
                        < 0)
                .isEmpty();
        if (slots.full(silent)) {
            slots.queue(record.id());
            return;
        }
        // Whatever the call is for: what is cancelled ends now.
        List<WorkerCommand> all = commands.isEmpty() && s.report.isPresent() ? cancelledOn(s.report.get()) : commands;
        List<WorkerCommand> some = all.size() > COMMANDS_AT_ONCE ? all.subList(0, COMMANDS_AT_ONCE) : all;
        boolean starts = some.stream().anyMatch(o -> o instanceof WorkerCommand.Run);
        long session = s.report.map(WorkerReport::session).orElse(1L);
        long token = record.token();
        s.starting(token, session, some);
        s.calling = true;
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
                    s.calling = false;
                    slots.end(silent, due::add);
                    version++;
                    if (a != null && (a.status() == 200 || a.status() == 409)) {
                        if (!answered(record.id(), s, a.body()) && starts) {
                            unanswered(record, s, token);
                        }
                        pause(record.id(), s, a.status() == 200 ? Duration.ZERO : REFUSED_PAUSE);
                    } else {
                        if (s.report.isPresent()) {
                            s.unanswered(timeline.now()); // one that never reported may still be booting
                        }
                        boolean sent = e == null || !(CallFailure.cause(e) instanceof CallFailure f) || f.sent();
                        if (starts && sent && (a == null || a.status() >= 500)) {
                            unanswered(record, s, token);
                        }
                        pause(record.id(), s, silent ? SILENT_PAUSE : CALL_PAUSE);
                    }
                });
    }

    private void unanswered(MachineRecord record, WorkerState s, long token) {
        s.unansweredUnder = Optional.of(token);
        s.unansweredAt = timeline.now();
        decisions.tell(
                LOG, "machine {} did not answer a start; it is fenced before anything is concluded", record.id());
    }

    private void pause(String host, WorkerState s, Duration pause) {
        s.callAgainAt = timeline.now().plus(pause);
        if (pause.isZero()) {
            due.add(host);
            changed.run();
        } else {
            timeline.after(pause, () -> {
                due.add(host);
                changed.run();
            });
        }
    }

    private boolean answered(String host, WorkerState s, byte[] body) {
        try {
            WorkerReport r = WorkerReport.parse(MessagePackCodec.read(body));
            if (r.host().equals(host)) {
                if (r.notice().isPresent()) {
                    noticed.add(host);
                }
                Optional<WorkerReport> before = s.report;
                s.answered(r, timeline.now());
                attendIfNews(r, before);
                return true;
            }
        } catch (MalformedException ex) {
            LOG.debug("machine {} answered unreadably: {}", host, ex.getMessage());
        }
        return false;
    }
}
