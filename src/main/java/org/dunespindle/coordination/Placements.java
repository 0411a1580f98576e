package org.dunespindle.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.dunespindle.bookkeeping.HostRecord;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.bookkeeping.Keys;
import org.dunespindle.bookkeeping.Replica;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.bookkeeping.Txn;
import org.dunespindle.protocol.Pack;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out this controller's part of a plan: books tasks on its machines, and stops those that give way. */
final class Placements {
    private static final Logger LOG = LoggerFactory.getLogger(Placements.class);
    /** Stopping tasks splits groups of claims, so a record is not filled to the brim by placing. */
    private static final double FILLED_BY_PLACING = 0.7;
    private static final int OTHER_GUARDS = 3;
    private final Settings settings;
    private final Replica replica;
    private final Membership membership;
    private final Committer committer;
    private final MachineEdits edits;
    private final Timeline timeline;
    private final Decisions decisions;
    private final Predicate<HostRecord> takesTasks;
    /** Records proposed but not stored yet: their room is taken, or another job would be booked on it too. */
    private final Map<String, JobRecord> proposed = new HashMap<>();

    Placements(Settings settings, Replica replica, Membership membership, Committer committer, MachineEdits edits, Timeline timeline, Decisions decisions, Predicate<HostRecord> takesTasks) {
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
        this.committer = committer;
        this.edits = edits;
        this.timeline = timeline;
        this.decisions = decisions;
        this.takesTasks = takesTasks;
    }

    /** A job as it will be once what is proposed for it is stored. */
    JobRecord ahead(JobRecord job) {
        return proposed.getOrDefault(job.id(), job);
    }

    /** One transaction per team, which the team's ledger guards. */
    void place(Planner.Plan plan) {
        var byTeam = new LinkedHashMap<String, List<Planner.Booking>>();
        for (Planner.Booking b : plan.bookings()) {
            if (committer.isLocked(Keys.job(b.job().id())) || committer.isLocked(Keys.team(b.job().job().team()))) {
                continue;
            }
            var places = new LinkedHashMap<Integer, String>();
            b.places().forEach((task, host) -> {
                HostRecord h = replica.hosts().get(host);
                if (h != null && membership.owns(h) && !edits.busy(host) && takesTasks.test(h) && (!b.job().job().gang() || membership.leads())) {
                    places.put(task, host);
                }
            });
            // A gang of one is whole or not; of others, placeholders are placed as room comes.
            if (!places.isEmpty()) {
                byTeam.computeIfAbsent(b.job().job().team(), t -> new ArrayList<>()).add(new Planner.Booking(b.job(), places));
            }
        }
        if (!byTeam.isEmpty()) {
            var jobs = new ArrayList<JobRecord>();
            replica.livingJobs().forEach(j -> jobs.add(ahead(j)));
            Map<String, Resources> use = Planner.use(jobs);
            byTeam.forEach((team, bookings) -> placeForTeam(team, bookings, use.getOrDefault(team, Resources.NONE)));
        }
    }

    private void placeForTeam(String team, List<Planner.Booking> bookings, Resources before) {
        String key = Keys.team(team);
        var txn = new Txn().guard(key, replica.stamp(key));
        Resources use = before;
        var records = new HashMap<String, JobRecord>();
        for (Planner.Booking b : bookings) {
            Map<Integer, String> places = fitting(b, txn);
            JobRecord job = b.job();
            Resources after = use.plus(job.job().perTask().times(places.size()));
            if (places.isEmpty() || txn.changeCount() >= settings.state().txnOps() - 1 || !settings.teams().get(team).withinLimit(after)) {
                continue;
            }
            JobRecord placed = job.placed(places);
            if (job.job().gang() && job.job().tasks() == 1) {
                placed = placed.real(); // its placeholder would be the whole gang and start, so it runs directly
            }
            ObjectNode node = placed.toNode();
            if (Pack.countedSize(node) > settings.state().valueBytes() * FILLED_BY_PLACING) {
                continue; // some of its tasks must end first
            }
            var more = new Txn().guard(Keys.job(job.id()), replica.stamp(Keys.job(job.id()))).write(Keys.job(job.id()), node);
            places.values().forEach(h -> more.guard(Keys.host(h), replica.stamp(Keys.host(h))));
            if (job.job().gang()) {
                more.guard(Keys.LEADER, replica.stamp(Keys.LEADER));
            }
            if (!txn.absorb(more, settings.state().txnOps() - 1)) {
                continue;
            }
            use = after;
            records.put(job.id(), placed);
            LOG.debug("{} ({}): {} placed {} ms after it came", job.id(), job.job().jobClass(), places.size(), LOG.isDebugEnabled() ? Duration.between(job.arrived(), timeline.wallTime()).toMillis() : 0);
        }
        if (txn.changeCount() > 0) {
            txn.write(key, Pack.map().put("cpus", use.cpus()).put("gpus", use.gpus()));
            propose(txn, records);
        }
    }

    private void propose(Txn txn, Map<String, JobRecord> records) {
        proposed.putAll(records);
        committer.propose(Committer.Lane.PLACING, txn, r -> proposed.keySet().removeAll(records.keySet()));
    }

    /** The places whose guards still fit: a gang or array over very many pages is placed in several transactions. */
    private Map<Integer, String> fitting(Planner.Booking b, Txn txn) {
        int room = Txn.mostGuards(settings.state().txnOps() - 1) - txn.guards().size() - OTHER_GUARDS;
        var pages = new java.util.HashSet<String>();
        var places = new LinkedHashMap<Integer, String>();
        b.places().forEach((task, host) -> {
            String page = Keys.host(host);
            boolean known = txn.guards().containsKey(page) || pages.contains(page);
            if (known || pages.size() < room) {
                pages.add(page);
                places.put(task, host);
            }
        });
        return places;
    }

    /** Stops the tasks that give way, once their machine is borrowed: its owner would fill the room with other work at once. */
    void evict(Planner.Plan plan) {
        var victims = new LinkedHashMap<String, JobRecord>();
        for (Planner.Eviction e : plan.evictions()) {
            HostRecord h = replica.hosts().get(e.claim().host());
            if (h != null && membership.owns(h) && !committer.isLocked(Keys.job(e.victim().id()))) {
                victims.merge(e.victim().id(), e.victim().stopTask(e.claim().task()), (a, b) -> a.stopTask(e.claim().task()));
                decisions.tell(LOG, "task {}/{} on {} gives way to {}", e.victim().id(), e.claim().task(), e.claim().host(), e.forJob());
            }
        }
        victims.forEach((id, changed) -> {
            String key = Keys.job(id);
            propose(new Txn().guard(Keys.LEADER, replica.stamp(Keys.LEADER)).guard(key, replica.stamp(key)).write(key, changed.toNode()), Map.of(id, changed));
        });
    }
}
