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
import org.dunespindle.control.Decisions;
import org.dunespindle.control.MachineWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.Reconciler;
import org.dunespindle.control.Sessions;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerReport;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.Replica;
import org.dunespindle.storage.TxnResult;
import org.dunespindle.time.Durations;
import org.dunespindle.time.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers workers' reports: whose they are, whether a lease may be renewed here and now, and who should hear them instead. What
 * follows from a report for its machine is worked out by {@link WorkerClient}.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    private static final Duration KEEP = Duration.ofSeconds(40);
    private static final Duration STRAY_GAP = Duration.ofMillis(700);
    private static final Duration STRAY_MEMORY = Duration.ofSeconds(12);
    private static final Duration TURNED_AWAY_MEMORY = Duration.ofSeconds(40);
    private static final Duration TURNED_AWAY_GAP = Duration.ofMillis(1500);
    /** What a lease may outlast the last renewal by, beside its length: clocks, and what is under way. */
    private static final Duration MARGIN = Duration.ofSeconds(4);

    private static final Duration LEAST_VIEW = Duration.ofSeconds(2);
    private static final int STRAYS_UNSEEN = 4;
    private final Settings settings;
    private final Replica replica;
    private final Membership membership;
    private final MachineWriter machineWriter;
    private final WorkerClient workerClient;
    private final Timeline timeline;
    private final Sessions sessions;
    private final Decisions decisions;
    private final Cancellations cancellations;
    private final BooleanSupplier cutOff;
    private final Predicate<String> fellQuiet;
    private final Runnable changed;
    /** With older knowledge of cancellations no lease is renewed: one told elsewhere may be unknown here, and must end its tasks in time. */
    private final Duration viewLimit;

    private long reports;

    public HeartbeatHandler(
            ControllerContext context,
            MachineWriter machineWriter,
            WorkerClient workerClient,
            Cancellations cancellations,
            BooleanSupplier cutOff,
            Predicate<String> fellQuiet,
            Runnable changed) {
        this.settings = context.settings();
        this.replica = context.replica();
        this.membership = context.membership();
        this.timeline = context.timeline();
        this.sessions = context.sessions();
        this.decisions = context.decisions();
        this.machineWriter = machineWriter;
        this.workerClient = workerClient;
        this.cancellations = cancellations;
        this.cutOff = cutOff;
        this.fellQuiet = fellQuiet;
        this.changed = changed;
        Duration spare =
                settings.workers().cancel().minus(settings.workers().lease()).minus(MARGIN);
        this.viewLimit = spare.compareTo(LEAST_VIEW) < 0 ? LEAST_VIEW : spare;
    }

    /** Reports answered so far. */
    public long reports() {
        return reports;
    }

    /** Answers a report: status and body. */
    public void report(WorkerReport r, BiConsumer<Integer, ObjectNode> answer) {
        reports++;
        WorkerState session = sessions.of(r.host());
        Optional<WorkerReport> before = session.report;
        Duration now = timeline.now();
        boolean wasSilent = workerClient.silent(session);
        boolean newer = session.reported(r, now);
        if (r.notice().isPresent()) {
            workerClient.notice(r.host());
        }
        if (newer) {
            workerClient.attendIfNews(r, before);
        }
        if (newer && wasSilent && session.unprovenSince.isPresent()) {
            // After a cut, or when it has just found its way here: that no command arrived before does not show that
            // none does now.
            session.unprovenSince = Optional.of(now);
            session.callAgainAt = now;
            workerClient.attend(r.host());
            changed.run();
        }
        MachineRecord record = replica.hosts().get(r.host());
        if (replica.loaded() && keepsAlive(r, record, answer)) {
            return;
        }
        if (!replica.loaded() || membership.incarnation() == 0 || !mayRenew()) {
            answer.accept(503, error("this controller does not know the present state"));
            return;
        }
        if (newer && session.unprovenSince.isPresent() && session.callAgainAt.compareTo(timeline.now()) > 0) {
            session.callAgainAt = timeline.now().plus(WorkerClient.REFUSED_PAUSE);
            workerClient.attend(r.host());
        }
        if (cutOff.getAsBoolean()) {
            answerCutOff(r, record, session, answer);
        } else if (record == null) {
            unknown(r, session, newer, answer);
        } else if (membership.owns(record)) {
            answerOwned(r, record, session, newer, answer);
            if (newer && r.token() == record.token()) {
                session.heardAt = Optional.of(timeline.now());
            }
        } else {
            stray(r, record, session, newer, answer);
        }
    }

    /**
     * A worker whose controller is gone is answered under the stored token until somebody takes its machine over: after a crash of
     * all, taking over takes longer than is left of its lease. Without commands, an equal token does nothing but renew.
     */
    private boolean keepsAlive(WorkerReport r, MachineRecord record, BiConsumer<Integer, ObjectNode> answer) {
        boolean orphan = record != null
                && !membership.isAlive(record.owner(), record.incarnation())
                && replica.age().compareTo(WorkerClient.START_VIEW) < 0
                && accepts(r, record);
        if (orphan) {
            renew(r, record, answer);
        }
        return orphan;
    }

    /** Whether a worker may be answered with 200, as far as cancellations go. */
    private boolean mayRenew() {
        return cancellations.age().compareTo(viewLimit) <= 0;
    }

    /** A worker that has seen a higher token than is stored drops what is answered under the stored one, and waits until its lease is over. */
    private static boolean accepts(WorkerReport r, MachineRecord record) {
        return r.token() <= record.token();
    }

    /** Renews a worker's lease and ends what is cancelled, nothing else. */
    private void renew(WorkerReport r, MachineRecord record, BiConsumer<Integer, ObjectNode> answer) {
        answer.accept(
                200,
                WorkerCommand.reply(
                        record.token(),
                        workerClient.cancelledOn(r).stream()
                                .limit(WorkerClient.COMMANDS_AT_ONCE)
                                .toList()));
    }

    private static ObjectNode error(String text) {
        return MessagePackCodec.map().put("error", text);
    }

    private void answerOwned(
            WorkerReport r,
            MachineRecord record,
            WorkerState session,
            boolean newer,
            BiConsumer<Integer, ObjectNode> answer) {
        if (!accepts(r, record)) {
            answer.accept(503, error("its token is being raised"));
            return;
        }
        // Halts ride along for a worker that reaches this controller but cannot be reached, and forgetting has time;
        // starts never ride.
        boolean proof = newer
                && r.token() == record.token()
                && session.unansweredUnder.isEmpty()
                && !session.calling
                && replica.syncedTo() >= replica.stamp(Keys.host(r.host()));
        if (!proof) {
            renew(r, record, answer);
            return;
        }
        List<WorkerCommand> commands =
                workerClient
                        .keepExits(
                                record,
                                session,
                                Reconciler.judge(workerClient.allocations(r.host()), r)
                                        .commands())
                        .stream()
                        .filter(o -> !(o instanceof WorkerCommand.Run))
                        .limit(WorkerClient.COMMANDS_AT_ONCE)
                        .toList();
        answer.accept(200, WorkerCommand.reply(record.token(), commands));
    }

    /**
     * This controller reaches neither the state service nor a controller that does, yet workers reach it. Whoever can
     * act takes its machines over, so its workers are sent to find that one. One that comes back was turned
     * away everywhere: it is better kept alive than left to die, as long as no cancellation can have been missed.
     */
    private void answerCutOff(
            WorkerReport r, MachineRecord record, WorkerState session, BiConsumer<Integer, ObjectNode> answer) {
        Duration now = timeline.now();
        boolean ours = record != null && membership.owns(record) && accepts(r, record);
        Optional<Duration> away = session.turnedAwayAt.map(now::minus).filter(d -> d.compareTo(TURNED_AWAY_MEMORY) < 0);
        boolean cameBack = away.filter(d -> d.compareTo(TURNED_AWAY_GAP) > 0).isPresent();
        if (ours && (cameBack || !hearsOtherZones())) {
            renew(r, record, answer);
            return;
        }
        if (away.isEmpty()) {
            session.turnedAwayAt = Optional.of(now);
        }
        answer.accept(503, error("this controller is cut off from the state service and the others"));
    }

    /** In a cut between zones only the own zone's workers are heard, and nobody else can answer them. */
    private boolean hearsOtherZones() {
        Duration recent = Durations.times(settings.workers().report(), 2).plusSeconds(1);
        for (WorkerState s : sessions.all().values()) {
            if (s.heardAt.isPresent()
                    && timeline.now().minus(s.heardAt.get()).compareTo(recent) < 0
                    && s.report.filter(x -> !x.zone().equals(settings.zone())).isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** A machine that no record names. Its report may be a late copy and the machine long gone, so it is asked itself first. */
    private void unknown(WorkerReport r, WorkerState session, boolean newer, BiConsumer<Integer, ObjectNode> answer) {
        Optional<String> owner = membership.hashed(r.host());
        if (!membership.joined() || owner.isEmpty()) {
            answer.accept(503, error("not a member yet"));
        } else if (!owner.get().equals(settings.nodeName())) {
            answer.accept(421, WorkerCommand.redirect(owner.get()));
        } else if (!newer || session.verifying || machineWriter.busy(r.host())) {
            answer.accept(503, error("machine is being taken up"));
        } else {
            workerClient.verify(r, session, alive -> {
                if (!alive || replica.hosts().containsKey(r.host())) {
                    answer.accept(503, error("machine could not be taken up"));
                    return;
                }
                var record = new MachineRecord(
                        r.host(),
                        r.address(),
                        r.type(),
                        r.zone(),
                        r.spot(),
                        settings.nodeName(),
                        membership.incarnation(),
                        session.report.map(WorkerReport::token).orElse(r.token()) + 1,
                        timeline.wallTime(),
                        Instant.EPOCH,
                        false,
                        "");
                decisions.tell(LOG, "machine {} reported without having been rented by us; taken up", r.host());
                machineWriter.change(CommitPriority.PLACING, record, answerAfter(r, answer));
            });
        }
    }

    private Consumer<TxnResult> answerAfter(WorkerReport r, BiConsumer<Integer, ObjectNode> answer) {
        return result -> {
            MachineRecord now = replica.hosts().get(r.host());
            if (result instanceof TxnResult.Applied && now != null && membership.owns(now)) {
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
    private void stray(
            WorkerReport r,
            MachineRecord record,
            WorkerState session,
            boolean newer,
            BiConsumer<Integer, ObjectNode> answer) {
        Duration now = timeline.now();
        boolean ownerLives = membership.isAlive(record.owner(), record.incarnation());
        String next = ownerLives ? record.owner() : membership.hashed(r.host()).orElse(record.owner());
        Runnable sendOn = () -> answer.accept(421, WorkerCommand.redirect(next));
        if (!newer) {
            sendOn.run();
            return;
        }
        long stamp = replica.stamp(Keys.host(r.host()));
        Duration since = now.minus(session.strayAt);
        if (session.strayStamp != stamp || since.compareTo(STRAY_MEMORY) > 0) {
            session.strays = 1;
            session.strayStamp = stamp;
            session.strayAt = now;
        } else if (since.compareTo(STRAY_GAP) > 0) {
            session.strays++;
            session.strayAt = now;
        }
        if (replica.age().compareTo(WorkerClient.START_VIEW) >= 0 && session.strays >= 2 && accepts(r, record)) {
            // In an outage that all share nobody can take it over from a controller that has ended; until then it is
            // kept alive.
            renew(r, record, answer);
            return;
        }
        // A controller that has just ended takes all its workers here: its pages are soon taken as a whole, not machine
        // by machine.
        if (!membership.joined()
                || session.verifying
                || machineWriter.busy(r.host())
                || fellQuiet.test(record.owner())) {
            sendOn.run();
        } else if (session.strays >= 2) {
            workerClient.verify(r, session, alive -> {
                MachineRecord present = replica.hosts().get(r.host());
                // A worker that reaches only this controller, and that nobody reaches, is taken over once it has
                // insisted.
                boolean insists = session.strays >= STRAYS_UNSEEN && r.token() == record.token();
                if (present != null && !membership.owns(present) && (alive || insists)) {
                    decisions.tell(
                            LOG, "machine {} cannot reach its controller {}; taken over", r.host(), present.owner());
                    workerClient.take(present, timeline.wallTime().plus(KEEP), answerAfter(r, answer));
                } else {
                    sendOn.run();
                }
            });
        } else {
            sendOn.run();
        }
    }
}
