package org.dunespindle.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.dunespindle.bookkeeping.HostRecord;
import org.dunespindle.bookkeeping.Keys;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.Replica.Placed;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.bookkeeping.Txn;
import org.dunespindle.bookkeeping.TxnResult;
import org.dunespindle.protocol.MalformedException;
import org.dunespindle.protocol.Order;
import org.dunespindle.protocol.Pack;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.TaskPhase;
import org.dunespindle.protocol.WorkerReport;
import org.dunespindle.transport.CallFailure;
import org.dunespindle.transport.Caller;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Dealings with workers: reports, direct commands, and who commands which machine. */
public final class HostDesk {
    private static final Logger LOG = LoggerFactory.getLogger(HostDesk.class);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(2500);
    private static final Duration CALL_PAUSE = Duration.ofMillis(1000);
    private static final Duration KEEP = Duration.ofSeconds(40);
    private static final Duration STRAY_GAP = Duration.ofMillis(700);
    private static final Duration STRAY_MEMORY = Duration.ofSeconds(12);
    private static final Duration START_VIEW = Duration.ofSeconds(3);
    private static final int ORDERS_AT_ONCE = 200;
    private final Settings settings;
    private final Replica replica;
    private final Membership membership;
    private final Committer committer;
    private final Caller http;
    private final Timeline timeline;
    private final Sessions sessions;
    private final Decisions decisions;
    private final Runnable changed;
    /** Views older than this no longer entitle: a cancellation told elsewhere may be unknown here. */
    private final Duration viewLimit;

    public HostDesk(Settings settings, Replica replica, Membership membership, Committer committer, Caller http, Timeline timeline, Sessions sessions, Decisions decisions, Runnable changed) {
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.committer = committer;
        this.http = http;
        this.timeline = timeline;
        this.sessions = sessions;
        this.decisions = decisions;
        this.changed = changed;
        Duration spare = settings.workers().cancel().minus(settings.workers().lease()).minus(Duration.ofSeconds(4));
        this.viewLimit = spare.compareTo(Duration.ofSeconds(2)) < 0 ? Duration.ofSeconds(2) : spare;
    }

    /** Answers a report: status and body. */
    public void report(WorkerReport r, BiConsumer<Integer, ObjectNode> answer) {
        Sessions.Session session = sessions.of(r.host());
        session.heardAt = Optional.of(timeline.now());
        session.accept(r);
        if (!replica.loaded() || membership.incarnation() == 0 || replica.age().compareTo(viewLimit) > 0) {
            answer.accept(503, Pack.map().put("error", "this controller does not know the present state"));
            return;
        }
        HostRecord record = replica.hosts().get(r.host());
        if (record == null) {
            unknown(r, answer);
        } else if (membership.owns(record)) {
            answerOwned(r, record, session, answer);
            changed.run();
        } else {
            stray(r, record, session, answer);
        }
    }

    private void answerOwned(WorkerReport r, HostRecord record, Sessions.Session session, BiConsumer<Integer, ObjectNode> answer) {
        // Halts ride along for a worker that reaches this controller but cannot be reached; starts never do.
        List<Order> halts = session.calling || replica.syncedTo() < replica.stamp(Keys.host(r.host())) ? List.of()
                : Reconciler.judge(replica.claimsOn(r.host()), r).orders().stream().filter(o -> o instanceof Order.Halt).limit(ORDERS_AT_ONCE).toList();
        answer.accept(200, Order.reply(record.token(), halts));
    }

    private void unknown(WorkerReport r, BiConsumer<Integer, ObjectNode> answer) {
        Optional<String> steward = membership.hashed(r.host());
        if (!membership.joined() || steward.isEmpty()) {
            answer.accept(503, Pack.map().put("error", "not a member yet"));
        } else if (!steward.get().equals(settings.nodeName())) {
            answer.accept(421, Pack.map().put("steward", steward.get()));
        } else if (committer.isLocked(Keys.host(r.host()))) {
            answer.accept(503, Pack.map().put("error", "machine is being taken up"));
        } else {
            var record = new HostRecord(r.host(), r.address(), r.type(), r.zone(), r.spot(), settings.nodeName(), membership.incarnation(), r.token() + 1,
                    timeline.wallTime(), Instant.EPOCH, false, "");
            decisions.tell(LOG, "machine {} reported without having been rented by us; taken up", r.host());
            committer.propose(new Txn().guard(Keys.host(r.host()), 0).write(Keys.host(r.host()), record.toNode()), answerAfter(r, answer));
        }
    }

    private Consumer<TxnResult> answerAfter(WorkerReport r, BiConsumer<Integer, ObjectNode> answer) {
        return result -> {
            HostRecord now = replica.hosts().get(r.host());
            if (result instanceof TxnResult.Applied && now != null && membership.owns(now)) {
                answer.accept(200, Order.reply(now.token(), List.of()));
            } else {
                answer.accept(503, Pack.map().put("error", "machine could not be taken up"));
            }
        };
    }

    /**
     * A worker that reports here though another controller owns its machine is sent there. When it comes
     * back soon, it could not reach the owner (a cut zone, a crash): then the machine changes hands.
     */
    private void stray(WorkerReport r, HostRecord record, Sessions.Session session, BiConsumer<Integer, ObjectNode> answer) {
        Duration now = timeline.now();
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
        boolean ownerGone = !membership.isAlive(record.owner(), record.incarnation());
        if (membership.joined() && (session.strays >= 2 || ownerGone) && !committer.isLocked(Keys.host(r.host()))) {
            decisions.tell(LOG, "machine {} cannot reach its controller {}; taken over", r.host(), record.owner());
            take(record, session.strays >= 2 ? timeline.wallTime().plus(KEEP) : Instant.EPOCH, answerAfter(r, answer));
        } else {
            answer.accept(421, Pack.map().put("steward", record.owner()));
        }
    }

    /** Becomes a machine's owner by raising its token. */
    public void take(HostRecord record, Instant keep, Consumer<TxnResult> then) {
        committer.propose(replica.rewrite(record.ownedBy(settings.nodeName(), membership.incarnation(), keep)), then);
    }

    /** Whether conclusions about this machine may be drawn and orders given here and now. */
    public boolean commands(HostRecord record) {
        return membership.owns(record) && replica.syncedTo() >= replica.stamp(Keys.host(record.id()));
    }

    /** A worker under our token whose last report stands: its machine can take tasks. */
    public boolean ready(HostRecord record) {
        Sessions.Session s = sessions.of(record.id());
        return commands(record) && !record.leaving() && s.report.isPresent() && s.report.get().token() == record.token() && s.unansweredUnder.isEmpty();
    }

    /** One pass over the machines commanded here: sends orders, returns what became of claims. */
    public List<Reconciler.Event> pass() {
        var events = new ArrayList<Reconciler.Event>();
        for (HostRecord record : List.copyOf(replica.hosts().values())) {
            if (!commands(record)) {
                continue;
            }
            Sessions.Session s = sessions.of(record.id());
            if (s.calling) {
                continue;
            }
            if (s.unansweredUnder.isPresent()) {
                fence(record, s);
            } else if (s.proves(record.token())) {
                Reconciler.Verdict v = Reconciler.judge(replica.claimsOn(record.id()), s.report.get());
                events.addAll(v.events());
                // An old view may miss a cancellation: it stops tasks, but starts none.
                boolean fresh = replica.age().compareTo(START_VIEW) < 0;
                List<Order> orders = fresh ? v.orders() : v.orders().stream().filter(o -> !(o instanceof Order.Run)).toList();
                if (!orders.isEmpty()) {
                    call(record, s, orders);
                }
            } else {
                call(record, s, List.of());
            }
        }
        return events;
    }

    /** A start that went unanswered may still land: a higher token, once the worker has seen it, rules that out. */
    private void fence(HostRecord record, Sessions.Session s) {
        if (record.token() > s.unansweredUnder.get()) {
            s.unansweredUnder = Optional.empty();
        } else if (!committer.isLocked(Keys.host(record.id()))) {
            committer.propose(replica.rewrite(record.fenced()), r -> { });
        }
    }

    private void call(HostRecord record, Sessions.Session s, List<Order> orders) {
        String address = s.report.map(WorkerReport::address).orElse(record.address());
        if (address.isEmpty() || timeline.now().compareTo(s.callAgainAt) < 0) {
            return;
        }
        List<Order> some = orders.size() > ORDERS_AT_ONCE ? orders.subList(0, ORDERS_AT_ONCE) : orders;
        boolean starts = some.stream().anyMatch(o -> o instanceof Order.Run);
        long session = s.report.map(WorkerReport::session).orElse(1L);
        s.calling = true;
        long token = record.token();
        http.send(address, "POST", "/orders", Pack.write(Order.command(token, session, some)), Pack.TYPE, ORDER_TIMEOUT).whenComplete((a, e) -> {
            s.calling = false;
            if (a != null && (a.status() == 200 || a.status() == 409)) {
                if (!answered(record, s, a.body()) && starts) {
                    s.unansweredUnder = Optional.of(token);
                }
                s.callAgainAt = a.status() == 200 ? Duration.ZERO : timeline.now().plus(Duration.ofMillis(200));
            } else {
                boolean sent = e == null || !(unwrap(e) instanceof CallFailure f) || f.sent();
                if (starts && sent && (a == null || a.status() >= 500)) {
                    s.unansweredUnder = Optional.of(token);
                    decisions.tell(LOG, "machine {} did not answer a start; it is fenced before anything is concluded", record.id());
                }
                s.callAgainAt = timeline.now().plus(CALL_PAUSE);
            }
            changed.run();
        });
    }

    private static Throwable unwrap(Throwable e) {
        return e instanceof java.util.concurrent.CompletionException && e.getCause() != null ? e.getCause() : e;
    }

    private boolean answered(HostRecord record, Sessions.Session s, byte[] body) {
        try {
            WorkerReport r = WorkerReport.parse(Pack.read(body));
            if (r.host().equals(record.id())) {
                s.heardAt = Optional.of(timeline.now());
                s.accept(r);
                return true;
            }
        } catch (MalformedException ex) {
            LOG.debug("machine {} answered unreadably: {}", record.id(), ex.getMessage());
        }
        return false;
    }

    /** Keeps track of images, errors and idleness from the reports of owned machines. */
    public void observe(HostRecord record) {
        Sessions.Session s = sessions.of(record.id());
        s.report.ifPresent(r -> r.tasks().forEach(t -> {
            if (t.phase() == TaskPhase.RUNNING || t.phase() == TaskPhase.ASSEMBLING) {
                replica.job(t.task().job()).flatMap(j -> j.spec()).ifPresent(spec -> s.fetched(spec.image()));
            }
        }));
        List<Placed> claims = replica.claimsOn(record.id());
        if (!claims.isEmpty()) {
            s.idleSince = timeline.now();
        }
    }
}
