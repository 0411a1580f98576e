package org.dunespindle.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.bookkeeping.JobRecord;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;

/**
 * Spare room for the next job of each class that is expected to start sooner than a machine boots. It
 * is planned like a job, behind all real ones, and is never booked: a phantom.
 */
public final class Headroom {
    private static final int REMEMBERED = 9;
    private final Set<String> classes = new HashSet<>();
    private final Map<String, ArrayDeque<Submission>> recent = new LinkedHashMap<>();
    private final Set<String> seen = new HashSet<>();

    public Headroom(List<Settings.Objective> objectives) {
        objectives.stream().filter(o -> o.kind().equals("wait")).forEach(o -> classes.add(o.jobClass()));
    }

    /** Takes note of jobs that came. */
    public void observe(List<JobRecord> jobs) {
        var present = new HashSet<String>();
        for (JobRecord j : jobs) {
            present.add(j.id());
            if (seen.add(j.id()) && classes.contains(j.job().jobClass())) {
                ArrayDeque<Submission> list = recent.computeIfAbsent(j.job().jobClass(), c -> new ArrayDeque<>());
                list.addLast(j.job());
                if (list.size() > REMEMBERED) {
                    list.removeFirst();
                }
            }
        }
        seen.retainAll(present);
    }

    /** The image most jobs of the class want: machines that have it are worth keeping. */
    private static String common(ArrayDeque<Submission> jobs) {
        var counts = new LinkedHashMap<String, Integer>();
        jobs.forEach(j -> counts.merge(j.image(), 1, Integer::sum));
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
    }

    /** Jobs of median size, some per class, as records that nothing stores. */
    public List<JobRecord> phantoms(int perClass) {
        var list = new ArrayList<JobRecord>();
        recent.forEach((name, jobs) -> {
            int[] sizes = jobs.stream().mapToInt(Submission::tasks).sorted().toArray();
            Submission s = jobs.getLast();
            var typical = new Submission("~" + name, name, s.team(), s.shape(), s.priority(), sizes[sizes.length / 2], s.perTask(), s.types(), Optional.empty(), s.sameZone(), s.spread(),
                    s.spot(), common(jobs), 0, s.estimate(), Duration.ZERO, Duration.ZERO, Optional.empty());
            for (int i = 0; i < perClass; i++) {
                list.add(JobRecord.accepted(typical, Instant.EPOCH));
            }
        });
        return list;
    }
}
