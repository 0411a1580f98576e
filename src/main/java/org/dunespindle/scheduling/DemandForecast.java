package org.dunespindle.scheduling;

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
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;

/**
 * Spare room for the next jobs of each class that is expected to start sooner than a machine boots. Planned like a
 * job but never booked: a phantom. What is likely to come within seconds keeps free room from lower work,
 * which would only have to give way again; beyond that, room for a typical job is kept behind all real ones.
 */
public final class DemandForecast {
    private static final int REMEMBERED = 9;
    private static final Duration OBSERVED = Duration.ofSeconds(120);
    private static final Duration AHEAD = Duration.ofSeconds(12);
    private final Set<String> classes = new HashSet<>();
    private final Map<String, ArrayDeque<Submission>> recent = new LinkedHashMap<>();
    private final Map<String, ArrayDeque<Arrival>> came = new LinkedHashMap<>();
    private final Set<String> seen = new HashSet<>();

    private record Arrival(Instant at, int tasks) {}

    /** Room that a class is likely to need next, as a job that nothing stores: its tasks, and how many of them within seconds. */
    public record ForecastJob(JobRecord job, int expectedSoon) {}

    /** Takes the classes that have an objective for waiting. */
    public DemandForecast(List<Settings.Objective> objectives) {
        objectives.stream()
                .filter(objective -> objective.kind().equals("wait"))
                .forEach(objective -> classes.add(objective.jobClass()));
    }

    /** Takes note of jobs that came. */
    public void observe(List<JobRecord> jobs) {
        var present = new HashSet<String>();
        for (JobRecord job : jobs) {
            present.add(job.id());
            if (seen.add(job.id()) && classes.contains(job.submission().jobClass())) {
                ArrayDeque<Submission> list =
                        recent.computeIfAbsent(job.submission().jobClass(), c -> new ArrayDeque<>());
                list.addLast(job.submission());
                if (list.size() > REMEMBERED) {
                    list.removeFirst();
                }
                came.computeIfAbsent(job.submission().jobClass(), c -> new ArrayDeque<>())
                        .addLast(new Arrival(job.arrived(), job.submission().tasks()));
            }
        }
        seen.retainAll(present);
    }

    /** The image most jobs of the class want: machines that have it are worth keeping. */
    private static String common(ArrayDeque<Submission> jobs) {
        var counts = new LinkedHashMap<String, Integer>();
        jobs.forEach(j -> counts.merge(j.image(), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    /** Tasks of a class that are likely to come within seconds, by what came lately. */
    private int soon(String name, Instant now) {
        ArrayDeque<Arrival> list = came.get(name);
        while (!list.isEmpty() && Duration.between(list.peekFirst().at, now).compareTo(OBSERVED) > 0) {
            list.removeFirst();
        }
        int tasks = list.stream().mapToInt(Arrival::tasks).sum();
        return (int) (tasks * AHEAD.toMillis() / OBSERVED.toMillis());
    }

    /** One per class: some jobs of median size, and what is likely to come soon. */
    public List<ForecastJob> forecastJobs(int perClass, Instant now) {
        var list = new ArrayList<ForecastJob>();
        recent.forEach((name, jobs) -> {
            int[] sizes = jobs.stream().mapToInt(Submission::tasks).sorted().toArray();
            Submission submission = jobs.getLast();
            var typical = new Submission(
                    "~" + name,
                    name,
                    submission.team(),
                    submission.kind(),
                    submission.priority(),
                    perClass * sizes[sizes.length / 2],
                    submission.perTask(),
                    submission.types(),
                    Optional.empty(),
                    submission.sameZone(),
                    submission.spread(),
                    submission.spot(),
                    common(jobs),
                    0,
                    submission.estimate(),
                    Duration.ZERO,
                    Duration.ZERO,
                    Optional.empty());
            int soon = soon(name, now);
            // A class from which nothing has come for long is not expected any more.
            if (perClass > 0 && !came.get(name).isEmpty()) {
                list.add(new ForecastJob(JobRecord.accepted(typical, Instant.EPOCH), soon));
            }
        });
        return list;
    }
}
