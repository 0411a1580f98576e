package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.time.TimeSource;

/** The users' side: submissions, polls and cancellations. Every answer rests on what is stored. */
public final class UserApi {
    private static final Duration SOON = Duration.ofSeconds(1);
    private static final Duration LATER = Duration.ofSeconds(3);
    private static final Duration LOCK_WAIT = Duration.ofMillis(40);
    private static final int LEAST_WAITING = 32;
    private static final int WAITING_SECONDS = 2;
    private static final Duration PATIENCE = Duration.ofMillis(1800);
    private final Settings settings;
    private final StateReplica replica;
    private final StateStoreClient stateStore;
    private final JobRecordWriter jobWriter;
    private final CommitQueue commitQueue;
    private final TimeSource timeSource;
    private final Supplier<Optional<List<MachineType>>> catalog;
    private final Histogram accepts;
    private final JobDelegation jobDelegation;
    /** What waits longer than its user does is of no use; cancellations may still wait when submissions may not. */
    private final int mostWaiting;

    /** An answer before it is put on the wire. */
    public record Answer(int status, ObjectNode body, Optional<Duration> retryAfter) {
        static Answer of(int status, ObjectNode body) {
            return new Answer(status, body, Optional.empty());
        }

        static Answer error(int status, String text) {
            return of(status, MessagePackCodec.map().put("error", text));
        }

        static Answer later(String text, Duration when) {
            return new Answer(503, MessagePackCodec.map().put("error", text), Optional.of(when));
        }
    }

    /** Creates the API; the catalog is empty until the cloud has answered. */
    public UserApi(
            ControllerContext context,
            StateStoreClient stateStore,
            CommitQueue commitQueue,
            Supplier<Optional<List<MachineType>>> catalog,
            Histogram accepts,
            JobDelegation jobDelegation) {
        this.jobDelegation = jobDelegation;
        this.settings = context.settings();
        this.replica = context.replica();
        this.jobWriter = context.jobWriter();
        this.stateStore = stateStore;
        this.commitQueue = commitQueue;
        this.timeSource = context.timeSource();
        this.catalog = catalog;
        this.accepts = accepts;
        this.mostWaiting =
                Math.max(LEAST_WAITING, (int) (settings.state().lowest().writeRps() * WAITING_SECONDS));
    }

    /** Answers a submission. */
    public void submit(byte[] body, Consumer<Answer> answer) {
        Submission job;
        try {
            job = Submission.parse(MessagePackCodec.read(body));
        } catch (MalformedMessageException e) {
            answer.accept(Answer.error(400, e.getMessage()));
            return;
        }
        if (!replica.loaded()) {
            answer.accept(Answer.later("this controller is still reading the stored state", SOON));
            return;
        }
        // A job that was accepted once is never refused later, whatever the settings say by then.
        if (own(job.id()).isPresent()) {
            current(job.id(), answer);
            return;
        }
        if (replica.job(job.id()).isPresent()) {
            answer.accept(idTaken(job.id()));
            return;
        }
        Optional<List<MachineType>> types = catalog.get();
        if (types.isEmpty()) {
            answer.accept(Answer.later("the machine types are not known yet", SOON));
            return;
        }
        Optional<String> never = whyNever(job, types.get(), settings);
        if (never.isPresent()) {
            refuse(job.id(), never.get(), answer);
        } else if (stateStore.failing()) {
            answer.accept(out());
        } else {
            store(job, answer);
        }
    }

    /** Refuses a job for good, unless another controller has accepted it meanwhile. */
    private void refuse(String id, String why, Consumer<Answer> answer) {
        replica.refresh(
                () -> answer.accept(own(id).map(this::show).orElseGet(() -> Answer.error(422, why))),
                () -> answer.accept(out()));
    }

    private void store(Submission job, Consumer<Answer> answer) {
        String key = Keys.job(job.id());
        JobRecord record = JobRecord.accepted(job, timeSource.wallTime());
        if (MessagePackCodec.countedSize(record.toNode()) > jobWriter.longestDescription()) {
            answer.accept(Answer.error(400, "the job's description is too long"));
        } else if (commitQueue.isLocked(key)) {
            answer.accept(Answer.later("the same submission is being stored", SOON));
        } else if (commitQueue.waiting(CommitPriority.USERS) >= mostWaiting) {
            answer.accept(Answer.later("more submissions wait than can be stored in time", LATER));
        } else {
            Duration begun = timeSource.now();
            Transaction transaction = jobWriter.write(new Transaction(), record);
            commitQueue.propose(CommitPriority.USERS, transaction, result -> {
                long micros = timeSource.now().minus(begun).toNanos() / 1000;
                accepts.recordValue(Math.min(accepts.getHighestTrackableValue(), micros));
                stored(job.id(), result, answer);
            });
        }
    }

    private void stored(String id, TransactionResult result, Consumer<Answer> answer) {
        if (result instanceof TransactionResult.Applied) {
            answer.accept(Answer.of(201, MessagePackCodec.map().put("id", id).put("phase", "queued")));
        } else if (own(id).isPresent() && !(result instanceof TransactionResult.Refused)) {
            current(id, answer);
        } else {
            answer.accept(out());
        }
    }

    /** A job that this cell accepted from its user. One that it took in from another cell is known to that cell's users only. */
    private Optional<JobRecord> own(String id) {
        return replica.job(id).filter(job -> job.inboundDelegation().isEmpty());
    }

    private Answer idTaken(String id) {
        String home = replica.job(id)
                .flatMap(JobRecord::inboundDelegation)
                .orElseThrow()
                .home();
        return Answer.later("the id is in use by a job of cell " + home, LATER);
    }

    /** Why a job can never run, if so. */
    public static Optional<String> whyNever(Submission job, List<MachineType> types, Settings settings) {
        Settings.Team team = settings.teams().get(job.team());
        if (team == null) {
            return Optional.of("team " + job.team() + " is unknown");
        }
        Set<String> zones = zonesFor(job, types);
        if (zones.isEmpty()) {
            return Optional.of("a task fits no allowed machine type");
        }
        boolean together = job.runsAsWhole();
        if (!team.withinLimit(together ? job.totalResources() : job.perTask())) {
            return Optional.of("the job needs more than the limit of team " + job.team());
        }
        if (together && job.sameZone() && job.spread() && job.tasks() > 1) {
            return Optional.of("samePlace and apart exclude each other");
        }
        if (together && job.spread() && job.tasks() > 1 && zones.size() < 2) {
            return Optional.of("apart needs a second zone, and only "
                    + zones.iterator().next() + " is allowed or has machines that fit");
        }
        return Optional.empty();
    }

    /** Zones in which a machine of an allowed type that fits a task can be had. */
    private static Set<String> zonesFor(Submission job, List<MachineType> types) {
        var zones = new TreeSet<String>();
        for (MachineType type : types) {
            if (job.types().map(a -> a.contains(type.name())).orElse(true)
                    && job.perTask().fitsIn(type.size())) {
                type.zones().stream()
                        .filter(z -> job.zone().map(z::equals).orElse(true))
                        .forEach(zones::add);
            }
        }
        return zones;
    }

    /** Answers a question about a job. */
    public void poll(String id, Consumer<Answer> answer) {
        if (!replica.loaded()) {
            answer.accept(Answer.later("this controller is still reading the stored state", SOON));
            return;
        }
        if (!Submission.wellFormedId(id)) {
            answer.accept(Answer.error(404, "no such job"));
            return;
        }
        current(id, answer);
    }

    /** Answers with the stored state. A final state can be told from the copy: it never changes again. */
    private void current(String id, Consumer<Answer> answer) {
        Optional<JobRecord> known = own(id);
        if (known.isPresent() && !known.get().isOpen()) {
            answer.accept(show(known.get()));
        } else if (stateStore.failing()) {
            answer.accept(out());
        } else {
            replica.refresh(
                    () -> answer.accept(own(id).map(this::show).orElseGet(() -> absent(id))),
                    () -> answer.accept(out()));
        }
    }

    /** A record that cannot be understood is not an absent one: its job was accepted. */
    private Answer absent(String id) {
        return replica.unreadable(Keys.job(id))
                ? Answer.later("the job's record cannot be read", LATER)
                : Answer.error(404, "no such job");
    }

    /** Cancels a job and answers once that is stored. */
    public void cancel(String id, Consumer<Answer> answer) {
        cancel(id, timeSource.now().plus(PATIENCE), answer);
    }

    private void cancel(String id, Duration until, Consumer<Answer> answer) {
        if (!replica.loaded() || stateStore.failing()) {
            answer.accept(out());
            return;
        }
        replica.refresh(
                () -> {
                    Optional<JobRecord> known = own(id);
                    String key = Keys.job(id);
                    if (known.isEmpty()) {
                        answer.accept(absent(id));
                    } else if (!known.get().isOpen()) {
                        answer.accept(show(known.get()));
                    } else if (commitQueue.isLocked(key)) {
                        again(id, until, answer);
                    } else if (known.get().isDelegatedAway()) {
                        jobDelegation.cancel(
                                known.get(), outcome -> cancelledElsewhere(known.get(), outcome, until, answer));
                    } else if (commitQueue.waiting(CommitPriority.USERS) >= 2 * mostWaiting) {
                        answer.accept(Answer.later("more requests wait than can be stored in time", LATER));
                    } else {
                        commitQueue.propose(
                                CommitPriority.USERS,
                                jobWriter.write(new Transaction(), known.get().cancelled()),
                                result -> {
                                    if (result instanceof TransactionResult.Applied) {
                                        answer.accept(Answer.of(
                                                200,
                                                MessagePackCodec.map()
                                                        .put("id", id)
                                                        .put("phase", "cancelled")));
                                    } else {
                                        again(id, until, answer);
                                    }
                                });
                    }
                },
                () -> answer.accept(out()));
    }

    /** Stores what another cell told of a job that it may have held; its user is told only then. */
    private void cancelledElsewhere(
            JobRecord asked, JobDelegation.Cancellation outcome, Duration until, Consumer<Answer> answer) {
        String id = asked.id();
        if (outcome == JobDelegation.Cancellation.UNKNOWN) {
            answer.accept(Answer.later(
                    "cell " + asked.outboundDelegation().orElseThrow().cell()
                            + ", which may hold the job, does not confirm that it is cancelled",
                    LATER));
            return;
        }
        boolean sameTransfer = replica.job(id)
                .filter(now -> now.delegationLink().equals(asked.delegationLink()))
                .isPresent();
        if (!sameTransfer || commitQueue.isLocked(Keys.job(id))) {
            again(id, until, answer);
            return;
        }
        JobRecord ended = outcome == JobDelegation.Cancellation.DONE ? asked.doneElsewhere() : asked.cancelled();
        commitQueue.propose(
                CommitPriority.USERS, jobWriter.write(new Transaction(), ended), result -> again(id, until, answer));
    }

    private void again(String id, Duration until, Consumer<Answer> answer) {
        if (timeSource.now().compareTo(until) > 0) {
            answer.accept(out());
        } else {
            timeSource.schedule(LOCK_WAIT, () -> cancel(id, until, answer));
        }
    }

    private static Answer out() {
        return Answer.later(
                "the state service does not answer; the request was not carried out as far as is known", LATER);
    }

    private Answer show(JobRecord job) {
        return show(job, jobDelegation);
    }

    /** A job's state for its user; what another cell told of it comes with its age. */
    static Answer show(JobRecord job, JobDelegation jobDelegation) {
        Optional<JobDelegation.RemoteProgress> remote =
                job.isDelegatedAway() ? jobDelegation.progress(job) : Optional.empty();
        return remote.map(progress -> show(job, progress)).orElseGet(() -> showLocal(job));
    }

    private static Answer show(JobRecord job, JobDelegation.RemoteProgress remote) {
        ObjectNode body = MessagePackCodec.map()
                .put("id", job.id())
                .put("phase", remote.begun() ? "running" : "queued")
                .put("done", remote.done())
                .put("running", remote.running())
                .put("cell", remote.cell())
                .put("ageMs", remote.age().toMillis());
        return Answer.of(200, remote.failures() > 0 ? body.put("failures", remote.failures()) : body);
    }

    private static Answer showLocal(JobRecord job) {
        String phase = switch (job.outcome()) {
            case DONE -> "done";
            case CANCELLED -> "cancelled";
            case OPEN -> job.runningCount() > 0 ? "running" : "queued";
        };
        ObjectNode body = MessagePackCodec.map()
                .put("id", job.id())
                .put("phase", phase)
                .put("done", job.doneCount())
                .put("running", job.runningCount());
        return Answer.of(200, job.failures() > 0 ? body.put("failures", job.failures()) : body);
    }
}
