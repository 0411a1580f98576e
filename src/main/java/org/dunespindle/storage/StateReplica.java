package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpCallException;
import org.dunespindle.transport.HttpClientResponse;
import org.dunespindle.transport.ResponseTooLongException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of everything in the state service, kept by reading its log of changes. A reading begun after
 * a question arrived answers that question as the store itself would, and serves all questions that
 * wait for it at once. Own transactions are taken over at once, at the revision they were given.
 */
public final class StateReplica {
    private static final Logger LOG = LoggerFactory.getLogger(StateReplica.class);
    private static final int PAGE = 500;
    private static final int HTTP_OK = 200;
    private static final int HTTP_TOO_MANY = 429;
    /** So many readings of the log in a row that got no answer: it may be too long to arrive in time, so pages are tried. */
    private static final int LOG_TRIES = 3;

    private final StateStoreClient stateStore;
    private final TimeSource timeSource;
    private final Duration interval;
    private final Runnable changed;
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final Map<String, JobRecord> openJobs = new LinkedHashMap<>();
    /** Jobs of other cells, ended ones included. */
    private final Map<String, JobRecord> inboundJobs = new LinkedHashMap<>();

    private final Map<String, MachineRecord> machines = new TreeMap<>();
    private final Map<String, JsonNode> members = new TreeMap<>();
    private final Map<String, JsonNode> plain = new HashMap<>();
    /** Stamps of keys; negative for a key that was removed then. */
    private final Map<String, Long> modRevisions = new HashMap<>();

    private final Map<String, Map<String, MachineRecord>> pages = new HashMap<>();
    /** Machines whose record or allocations changed since they were last asked for. */
    private Set<String> changedMachines = new LinkedHashSet<>();

    private final AllocationIndex allocations = new AllocationIndex(host -> changedMachines.add(host));

    private long version;
    private long memberVersion;
    private final Set<String> unreadable = new HashSet<>();
    private final ChunkedJobRecords cutJobs = new ChunkedJobRecords();
    /** Cancelled jobs by the revision at which this copy first showed them so, which is never before they were. */
    private final TreeMap<Long, List<String>> cancelled = new TreeMap<>();
    /** Own changes that were applied while everything is being read again: the pages read before them do not show them. */
    private final List<Own> appliedWhileLoading = new ArrayList<>();

    private long appliedRevision = -1;
    private Duration freshAt = Duration.ZERO;
    private boolean reading;
    private int logFailures;
    /** Whether everything has to be read again although there is a copy. */
    private boolean logLost;
    /** What has been read so far; a page that fails is asked for again, not all of them. */
    private Optional<Loading> loading = Optional.empty();

    private boolean timerSet;
    private List<Waiter> waiting = new ArrayList<>();

    private record Own(Transaction txn, long revision) {}

    private record Waiter(Runnable served, Runnable failed) {}

    /** Creates an empty replica; nothing is read before {@link #start}. */
    public StateReplica(StateStoreClient stateStore, TimeSource timeSource, Duration interval, Runnable changed) {
        this.stateStore = stateStore;
        this.timeSource = timeSource;
        this.interval = interval;
        this.changed = changed;
    }

    /** Begins to read, and keeps reading at the given interval. */
    public void start() {
        read();
    }

    /** Whether everything has been read at least once. */
    public boolean loaded() {
        return appliedRevision >= 0;
    }

    /** Everything up to this revision is known. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** How old the copy may be at most: the time since the last successful reading began. */
    public Duration staleness() {
        return loaded() ? timeSource.now().minus(freshAt) : Duration.ofDays(1);
    }

    /** A job's record. */
    public Optional<JobRecord> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** All jobs by id, finished ones included. */
    public Map<String, JobRecord> jobs() {
        return jobs;
    }

    /** Jobs that are open or still have allocations. */
    public Iterable<JobRecord> activeJobs() {
        return openJobs.values();
    }

    /** Jobs of other cells that were taken in, or refused: also ended ones, until their own cell has noted that. */
    public Iterable<JobRecord> inboundJobs() {
        return inboundJobs.values();
    }

    /** All machines by id. */
    public Map<String, MachineRecord> machines() {
        return machines;
    }

    /** The live controllers' membership records by name. */
    public Map<String, JsonNode> members() {
        return members;
    }

    /** The value of any other key. */
    public Optional<JsonNode> value(String key) {
        return Optional.ofNullable(plain.get(key));
    }

    /** The version of the stored forms. */
    public int formatVersion() {
        return FormatVersion.of(value(Keys.FORMAT));
    }

    /** The texts that the parts of a job's record keep, in their order; none for a record that is one value. */
    List<String> partsOf(String id) {
        return cutJobs.parts(id);
    }

    /** The stamp to guard a key with: 0 while it does not exist. */
    public long modRevision(String key) {
        return Math.max(0, modRevisions.getOrDefault(key, 0L));
    }

    /** Grows with every change taken over. */
    public long version() {
        return version;
    }

    /** Grows whenever controllers come or go. */
    public long memberVersion() {
        return memberVersion;
    }

    /** Machines whose record or allocations changed since the last call. */
    public Set<String> drainChangedMachines() {
        Set<String> taken = changedMachines;
        changedMachines = new LinkedHashSet<>();
        return taken;
    }

    /**
     * The change of a page of machines that only succeeds if nobody else changed it since it was read here.
     *
     * @param changes machines' new records, empty for a machine that is gone
     */
    public Transaction rewrite(String pageKey, Map<String, Optional<MachineRecord>> changes) {
        var rows = new TreeMap<>(pages.getOrDefault(pageKey, Map.of()));
        changes.forEach((id, record) -> record.ifPresentOrElse(r -> rows.put(id, r), () -> rows.remove(id)));
        var transaction = new Transaction().requireRevision(pageKey, modRevision(pageKey));
        if (rows.isEmpty()) {
            return transaction.remove(pageKey);
        }
        ObjectNode node = MessagePackCodec.map();
        rows.forEach((id, r) -> node.set(id, r.toRow()));
        return transaction.write(pageKey, node);
    }

    /** Machines that allocations are on, whether or not they have a record. */
    public Set<String> machinesWithAllocations() {
        return allocations.hosts();
    }

    /** The allocations on one machine. */
    public List<PlacedTask> allocationsOn(String host) {
        return allocations.on(host);
    }

    /** Cancelled jobs that a copy which reaches up to a revision may not show as cancelled. */
    public List<String> cancelledSince(long revision) {
        var ids = new ArrayList<String>();
        cancelled.tailMap(revision, false).values().forEach(ids::addAll);
        return ids;
    }

    /** Runs {@code served} once a reading that began after this call is in, or {@code failed}. */
    public void refresh(Runnable served, Runnable failed) {
        waiting.add(new Waiter(served, failed));
        if (!reading) {
            read();
        }
    }

    /** Takes over an own transaction that was applied. */
    public void applyCommitted(Transaction transaction, long revision) {
        if (loading.isPresent()) {
            appliedWhileLoading.add(new Own(transaction, revision));
        }
        transaction.changes().forEach((key, change) -> put(key, change.value(), revision));
        assembleCutJobs();
        changed.run();
    }

    private void schedule() {
        if (timerSet) {
            return;
        }
        timerSet = true;
        timeSource.schedule(interval, () -> {
            timerSet = false;
            if (!reading) {
                read();
            }
        });
    }

    private void read() {
        reading = true;
        List<Waiter> served = waiting;
        waiting = new ArrayList<>();
        Duration begun = timeSource.now();
        if (!loaded() || logLost || logFailures >= LOG_TRIES) {
            load(loading.orElseGet(() -> new Loading(begun)), served);
            return;
        }
        stateStore.changes(Keys.ROOT, appliedRevision).whenComplete((response, failure) -> {
            if (failure != null || response.status() != 200) {
                logFailed(response, failure);
                finish(served, false);
                return;
            }
            try {
                StateMessages.Entries log = StateMessages.log(response.body());
                log.entries().forEach(this::put);
                assembleCutJobs();
                appliedRevision = Math.max(appliedRevision, log.revision());
                freshAt = begun;
                logFailures = 0;
                loading = Optional.empty(); // begun for nothing, and by now too old to go on with
                appliedWhileLoading.clear();
                if (!log.entries().isEmpty()) {
                    changed.run();
                }
                finish(served, true);
            } catch (MalformedMessageException e) {
                logLost("cannot be read");
                finish(served, false);
            }
        });
    }

    /**
     * A log that cannot be taken in must not be asked for again and again: after a long cut it may hold thousands of changes, and
     * only grows. Whoever is refused or not answered learns nothing about the log; but when answers keep
     * staying out, it may be because they are so long.
     */
    private void logFailed(HttpClientResponse response, Throwable failure) {
        Throwable cause = HttpCallException.cause(failure);
        if (cause instanceof ResponseTooLongException) {
            logLost("is too long");
        } else if (response != null
                && response.status() >= 400
                && response.status() < 500
                && response.status() != 429) {
            logLost("no longer reaches back so far");
        } else if (failure != null) {
            logFailures++;
        }
    }

    private void logLost(String why) {
        LOG.info("the log of changes since revision {} {}; reading everything again", appliedRevision, why);
        logLost = true;
    }

    /** Everything under way to be read, page by page. */
    private static final class Loading {
        final List<StateMessages.Entry> entries = new ArrayList<>();
        String since = "";
        final Duration begun;
        boolean complete;
        /** Of the first page: pages are read at different revisions, and the log is followed from the first one's. */
        long revision = -1;

        Loading(Duration begun) {
            this.begun = begun;
        }

        boolean holdsParts() {
            return entries.stream().anyMatch(entry -> entry.key().startsWith(Keys.PART));
        }
    }

    private void load(Loading l, List<Waiter> served) {
        loading = Optional.of(l);
        if (l.complete) {
            catchUp(l, served);
            return;
        }
        stateStore.list(Keys.ROOT, l.since, PAGE).whenComplete((body, failure) -> {
            if (failure != null) {
                logFailures =
                        0; // an outage looks the same from here: the log is tried again in turn, if it may still do
                finish(served, false);
                return;
            }
            l.entries.addAll(body.entries());
            l.revision = l.revision < 0 ? body.revision() : l.revision;
            l.complete = !body.more() || body.entries().isEmpty();
            if (!l.complete) {
                l.since = body.entries().get(body.entries().size() - 1).key();
            }
            if (l.complete && !l.holdsParts()) {
                install(l, new StateMessages.Entries(List.of(), l.revision, false), l.begun);
                // What changed while the pages were read is in the log: whoever waits is served from there.
                waiting.addAll(0, served);
                finish(List.of(), true);
                return;
            }
            load(l, served);
        });
    }

    /**
     * Records that were cut need the log up to one revision for all of them: a page may hold the newer part of a record whose
     * older part was on an earlier page.
     */
    private void catchUp(Loading l, List<Waiter> served) {
        Duration asked = timeSource.now();
        stateStore.changes(Keys.ROOT, l.revision).whenComplete((response, failure) -> {
            if (failure != null || response.status() != HTTP_OK) {
                boolean refused = response != null && response.status() >= 400 && response.status() < 500;
                boolean tooOld = refused && response.status() != HTTP_TOO_MANY;
                if (tooOld || HttpCallException.cause(failure) instanceof ResponseTooLongException) {
                    loading = Optional.empty();
                }
                logFailures = 0;
                finish(served, false);
                return;
            }
            try {
                install(l, StateMessages.log(response.body()), asked);
                finish(served, true);
            } catch (MalformedMessageException e) {
                loading = Optional.empty();
                finish(served, false);
            }
        });
    }

    private void install(Loading l, StateMessages.Entries log, Duration asked) {
        loading = Optional.empty();
        logLost = false;
        logFailures = 0;
        l.entries.addAll(log.entries());
        replaceAll(l.entries);
        // Users were told of these: a copy that shows an older state, even for a moment, would deny it.
        appliedWhileLoading.forEach(
                own -> own.txn.changes().forEach((key, change) -> put(key, change.value(), own.revision)));
        appliedWhileLoading.clear();
        assembleCutJobs();
        appliedRevision = Math.max(l.revision, log.revision());
        freshAt = asked;
        changed.run();
    }

    private void replaceAll(List<StateMessages.Entry> entries) {
        jobs.clear();
        openJobs.clear();
        inboundJobs.clear();
        changedMachines.addAll(machines.keySet());
        machines.clear();
        pages.clear();
        allocations.clear();
        unreadable.clear();
        cutJobs.clear();
        cancelled.clear();
        members.clear();
        memberVersion++;
        plain.clear();
        modRevisions.clear();
        entries.forEach(this::put);
    }

    private void finish(List<Waiter> served, boolean good) {
        reading = false;
        for (Waiter w : served) {
            (good ? w.served : w.failed).run();
        }
        if (!reading && good && !waiting.isEmpty()) {
            read();
        } else {
            schedule();
        }
    }

    private void put(StateMessages.Entry entry) {
        put(entry.key(), entry.value(), entry.revision());
    }

    private void put(String key, Optional<JsonNode> value, long stamp) {
        Long known = modRevisions.get(key);
        if (known != null && Math.abs(known) >= stamp) {
            return; // an own change was taken over before the log told of it
        }
        modRevisions.put(key, value.isPresent() ? stamp : -stamp);
        version++;
        try {
            if (key.startsWith(Keys.JOB)) {
                String id = key.substring(Keys.JOB.length());
                cutJobs.putMain(id, value);
                if (value.filter(JobRecordCodec::isCut).isEmpty()) {
                    putJob(
                            id,
                            value.isEmpty() ? Optional.empty() : Optional.of(JobRecord.parse(id, value.get())),
                            stamp);
                }
            } else if (key.startsWith(Keys.PART)) {
                cutJobs.putPart(key, value);
            } else if (key.startsWith(Keys.PAGE)) {
                putPage(key, value);
            } else if (key.startsWith(Keys.MEMBER)) {
                String id = key.substring(Keys.MEMBER.length());
                value.ifPresentOrElse(v -> members.put(id, v), () -> members.remove(id));
                memberVersion++;
                changedMachines.addAll(machines.keySet());
            } else {
                value.ifPresentOrElse(v -> plain.put(key, v), () -> plain.remove(key));
            }
        } catch (MalformedMessageException | RuntimeException e) {
            unreadable(key, e);
        }
    }

    /** Without a stamp every guard of the key fails: nobody writes over what could not be understood. */
    private void unreadable(String key, Exception cause) {
        LOG.error("the record {} cannot be read: {}", key, cause.toString());
        unreadable.add(key);
        modRevisions.remove(key);
    }

    /** Whether a key's value could not be understood: it must not pass for one that does not exist. */
    public boolean unreadable(String key) {
        return unreadable.contains(key);
    }

    private void putPage(String key, Optional<JsonNode> value) {
        Map<String, MachineRecord> before = pages.getOrDefault(key, Map.of());
        var after = new TreeMap<String, MachineRecord>();
        value.ifPresent(v ->
                v.properties().forEach(f -> after.put(f.getKey(), MachineRecord.parse(f.getKey(), f.getValue()))));
        before.keySet().forEach(id -> {
            if (!after.containsKey(id)) {
                machines.remove(id);
                changedMachines.add(id);
            }
        });
        after.forEach((id, record) -> {
            if (!record.equals(before.get(id))) {
                machines.put(id, record);
            }
            // The page's stamp is new for all of them, and what is concluded about a machine waits for it.
            changedMachines.add(id);
        });
        if (after.isEmpty()) {
            pages.remove(key);
        } else {
            pages.put(key, after);
        }
    }

    /** Puts records together of which a part or the main value changed, once all changes of a revision are in. */
    private void assembleCutJobs() {
        for (String id : cutJobs.takeChanged()) {
            String key = Keys.job(id);
            try {
                putJob(id, Optional.of(cutJobs.assemble(id)), modRevision(key));
            } catch (MalformedMessageException | RuntimeException e) {
                unreadable(key, e);
            }
        }
    }

    private void putJob(String id, Optional<JobRecord> job, long stamp) {
        unreadable.remove(Keys.job(id));
        Optional<JobRecord> before = Optional.ofNullable(job.isPresent() ? jobs.put(id, job.get()) : jobs.remove(id));
        if (job.filter(j -> j.outcome() == JobRecord.Outcome.CANCELLED).isPresent()
                && before.filter(j -> j.outcome() == JobRecord.Outcome.CANCELLED)
                        .isEmpty()) {
            cancelled.computeIfAbsent(stamp, k -> new ArrayList<>(1)).add(id);
        }
        if (job.isPresent() && job.get().spec().isPresent()) {
            openJobs.put(id, job.get());
        } else {
            openJobs.remove(id);
        }
        if (job.flatMap(JobRecord::inboundDelegation).isPresent()) {
            inboundJobs.put(id, job.get());
        } else if (!inboundJobs.isEmpty()) {
            inboundJobs.remove(id);
        }
        allocations.update(id, before, job);
    }
}
