package org.dunespindle.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.protocol.MalformedException;
import org.dunespindle.protocol.Pack;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of everything in the state service, kept by reading its log of changes. A reading begun after
 * a question arrived answers that question as the store itself would, and serves all questions that
 * wait for it at once. Own transactions are taken over at once, at the revision they were given.
 */
public final class Replica {
    private static final Logger LOG = LoggerFactory.getLogger(Replica.class);
    private static final int PAGE = 500;
    private final StateClient state;
    private final Timeline timeline;
    private final Duration interval;
    private final Runnable changed;
    private final Map<String, JobRecord> jobs = new HashMap<>();
    private final Map<String, JobRecord> openJobs = new LinkedHashMap<>();
    private final Map<String, HostRecord> hosts = new TreeMap<>();
    private final Map<String, JsonNode> members = new TreeMap<>();
    private final Map<String, JsonNode> plain = new HashMap<>();
    private final Map<String, Long> stamps = new HashMap<>();
    private Optional<Map<String, List<Placed>>> byHost = Optional.empty();
    private long syncedTo = -1;
    private Duration freshAt = Duration.ZERO;
    private boolean reading;
    private boolean timerSet;
    private List<Waiter> waiting = new ArrayList<>();

    /** A claim with its job. */
    public record Placed(JobRecord job, Claim claim) {}

    private record Waiter(Runnable served, Runnable failed) {}

    public Replica(StateClient state, Timeline timeline, Duration interval, Runnable changed) {
        this.state = state;
        this.timeline = timeline;
        this.interval = interval;
        this.changed = changed;
    }

    public void start() {
        read();
    }

    public boolean loaded() {
        return syncedTo >= 0;
    }

    /** Everything up to this revision is known. */
    public long syncedTo() {
        return syncedTo;
    }

    /** How old the copy may be at most: the time since the last successful reading began. */
    public Duration age() {
        return loaded() ? timeline.now().minus(freshAt) : Duration.ofDays(1);
    }

    public Optional<JobRecord> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    public Map<String, JobRecord> jobs() {
        return jobs;
    }

    /** Jobs that are open or still have claims. */
    public Iterable<JobRecord> livingJobs() {
        return openJobs.values();
    }

    public Map<String, HostRecord> hosts() {
        return hosts;
    }

    public Map<String, JsonNode> members() {
        return members;
    }

    public Optional<JsonNode> value(String key) {
        return Optional.ofNullable(plain.get(key));
    }

    /** The stamp to guard a key with: 0 while it does not exist. */
    public long stamp(String key) {
        return exists(key) ? stamps.get(key) : 0;
    }

    /** The change of a machine's record that only succeeds if nobody else changed it since it was read here. */
    public Txn rewrite(HostRecord changed) {
        String key = Keys.host(changed.id());
        return new Txn().guard(key, stamp(key)).write(key, changed.toNode());
    }

    private boolean exists(String key) {
        if (key.startsWith(Keys.JOB)) {
            return jobs.containsKey(key.substring(Keys.JOB.length()));
        }
        if (key.startsWith(Keys.HOST)) {
            return hosts.containsKey(key.substring(Keys.HOST.length()));
        }
        return key.startsWith(Keys.MEMBER) ? members.containsKey(key.substring(Keys.MEMBER.length())) : plain.containsKey(key);
    }

    public List<Placed> claimsOn(String host) {
        return claims().getOrDefault(host, List.of());
    }

    /** All claims by machine. */
    public Map<String, List<Placed>> claims() {
        if (byHost.isEmpty()) {
            var map = new HashMap<String, List<Placed>>();
            for (JobRecord j : openJobs.values()) {
                for (Claim c : j.claims()) {
                    map.computeIfAbsent(c.host(), h -> new ArrayList<>()).add(new Placed(j, c));
                }
            }
            byHost = Optional.of(map);
        }
        return byHost.get();
    }

    /** Runs {@code served} once a reading that began after this call is in, or {@code failed}. */
    public void refresh(Runnable served, Runnable failed) {
        waiting.add(new Waiter(served, failed));
        if (!reading) {
            read();
        }
    }

    /** Takes over an own transaction that was applied. */
    public void adopt(Txn txn, long revision) {
        txn.changes().forEach((key, change) -> put(key, change.value(), revision));
        changed.run();
    }

    private void schedule() {
        if (timerSet) {
            return;
        }
        timerSet = true;
        timeline.after(interval, () -> {
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
        Duration begun = timeline.now();
        if (!loaded()) {
            load("", -1, new LinkedHashMap<>(), begun, served);
            return;
        }
        state.changes(Keys.ROOT, syncedTo).whenComplete((answer, failure) -> {
            if (failure != null || answer.status() != 200) {
                if (answer != null && answer.status() == 410) {
                    syncedTo = -1;
                    LOG.info("the log of changes begins after revision {}; reading everything again", syncedTo);
                }
                finish(served, false);
                return;
            }
            try {
                JsonNode body = Pack.read(answer.body());
                boolean any = false;
                for (JsonNode entry : body.path("log")) {
                    any = true;
                    boolean write = entry.has("write");
                    put(entry.path(write ? "write" : "remove").asText(), write ? Optional.of(entry.path("v")) : Optional.empty(), entry.path("stamp").longValue());
                }
                syncedTo = Math.max(syncedTo, body.path("epoch").longValue());
                freshAt = begun;
                if (any) {
                    changed.run();
                }
                finish(served, true);
            } catch (MalformedException e) {
                finish(served, false);
            }
        });
    }

    private record Row(JsonNode value, long stamp) {}

    private void load(String since, long epoch, Map<String, Row> rows, Duration begun, List<Waiter> served) {
        state.list(Keys.ROOT, since, PAGE).whenComplete((body, failure) -> {
            if (failure != null) {
                finish(served, false);
                return;
            }
            String last = since;
            for (JsonNode row : body.path("rows")) {
                last = row.path("key").asText();
                rows.put(last, new Row(row.path("v"), row.path("stamp").longValue()));
            }
            // Pages are read at different revisions; the log is followed from the first page's.
            long from = epoch < 0 ? body.path("epoch").longValue() : epoch;
            if (body.path("more").asBoolean(false) && !last.equals(since)) {
                load(last, from, rows, begun, served);
                return;
            }
            replaceAll(rows);
            syncedTo = from;
            freshAt = begun;
            changed.run();
            finish(served, true);
        });
    }

    private void replaceAll(Map<String, Row> rows) {
        jobs.clear();
        openJobs.clear();
        hosts.clear();
        members.clear();
        plain.clear();
        stamps.clear();
        rows.forEach((key, row) -> put(key, Optional.of(row.value), row.stamp));
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

    private void put(String key, Optional<JsonNode> value, long stamp) {
        Long known = stamps.get(key);
        if (known != null && known >= stamp) {
            return; // an own change was taken over before the log told of it
        }
        stamps.put(key, stamp);
        try {
            if (key.startsWith(Keys.JOB)) {
                putJob(key.substring(Keys.JOB.length()), value);
            } else if (key.startsWith(Keys.HOST)) {
                String id = key.substring(Keys.HOST.length());
                value.ifPresentOrElse(v -> hosts.put(id, HostRecord.parse(id, v)), () -> hosts.remove(id));
            } else if (key.startsWith(Keys.MEMBER)) {
                String id = key.substring(Keys.MEMBER.length());
                value.ifPresentOrElse(v -> members.put(id, v), () -> members.remove(id));
            } else {
                value.ifPresentOrElse(v -> plain.put(key, v), () -> plain.remove(key));
            }
        } catch (MalformedException | RuntimeException e) {
            LOG.error("the record {} cannot be read: {}", key, e.toString());
        }
    }

    private void putJob(String id, Optional<JsonNode> value) throws MalformedException {
        byHost = Optional.empty();
        if (value.isEmpty()) {
            jobs.remove(id);
            openJobs.remove(id);
            return;
        }
        JobRecord job = JobRecord.parse(id, value.get());
        jobs.put(id, job);
        if (job.spec().isPresent()) {
            openJobs.put(id, job);
        } else {
            openJobs.remove(id);
        }
    }
}
