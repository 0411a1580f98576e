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
 * Forecasts the demand of job classes whose jobs should start sooner than a machine boots. A forecast job is planned like a real one but never
 * bound. Tasks expected within seconds withhold free capacity from lower work, which would only be preempted again; beyond that, capacity for
 * typical jobs is reserved after all real jobs.
 */
public final class DemandForecast {
    private static final String FORECAST_ID_PREFIX = "~";
    private static final int RECENT_JOBS_PER_CLASS = 9;
    private static final Duration ARRIVAL_WINDOW = Duration.ofSeconds(120);
    private static final Duration FORECAST_HORIZON = Duration.ofSeconds(12);
    private final Set<String> forecastClasses = new HashSet<>();
    private final Map<String, ArrayDeque<Submission>> recent = new LinkedHashMap<>();
    private final Map<String, ArrayDeque<Arrival>> arrivals = new LinkedHashMap<>();
    private final Set<String> seen = new HashSet<>();

    private record Arrival(Instant at, int tasks) {}

    /**
     * The demand that a class is likely to have next.
     *
     * @param job a typical job, which is not stored
     * @param expectedSoon how many tasks of the class are expected within seconds
     */
    public record ForecastJob(JobRecord job, int expectedSoon) {}

    /** Creates a forecast for the classes that have an objective for the waiting time. */
    public DemandForecast(List<Settings.Objective> objectives) {
        objectives.stream()
                .filter(objective -> ObjectiveKind.WAIT.matches(objective))
                .forEach(objective -> forecastClasses.add(objective.jobClass()));
    }

    /** Observes the active jobs, and records the arrival of those not seen before. */
    public void observe(List<JobRecord> jobs) {
        var present = new HashSet<String>();
        for (JobRecord job : jobs) {
            present.add(job.id());
            if (seen.add(job.id()) && forecastClasses.contains(job.submission().jobClass())) {
                ArrayDeque<Submission> list =
                        recent.computeIfAbsent(job.submission().jobClass(), c -> new ArrayDeque<>());
                list.addLast(job.submission());
                if (list.size() > RECENT_JOBS_PER_CLASS) {
                    list.removeFirst();
                }
                arrivals.computeIfAbsent(job.submission().jobClass(), c -> new ArrayDeque<>())
                        .addLast(new Arrival(job.arrived(), job.submission().tasks()));
            }
        }
        seen.retainAll(present);
    }

    /** The image that most recent jobs use: machines that have it are worth keeping. */
    private static String mostCommonImage(ArrayDeque<Submission> jobs) {
        var counts = new LinkedHashMap<String, Integer>();
        jobs.forEach(job -> counts.merge(job.image(), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    /** How many tasks of a class are expected within the forecast horizon, by its recent arrival rate. */
    private int expectedTasks(String name, Instant now) {
        ArrayDeque<Arrival> list = arrivals.get(name);
        while (!list.isEmpty() && Duration.between(list.peekFirst().at, now).compareTo(ARRIVAL_WINDOW) > 0) {
            list.removeFirst();
        }
        int tasks = list.stream().mapToInt(Arrival::tasks).sum();
        return (int) (tasks * FORECAST_HORIZON.toMillis() / ARRIVAL_WINDOW.toMillis());
    }

    /**
     * One forecast job per class.
     *
     * @param perClass how many jobs of median size each forecast job stands for
     */
    public List<ForecastJob> forecastJobs(int perClass, Instant now) {
        var list = new ArrayList<ForecastJob>();
        recent.forEach((name, jobs) -> {
            int[] sizes = jobs.stream().mapToInt(Submission::tasks).sorted().toArray();
            Submission submission = jobs.getLast();
            var typical = new Submission(
                    FORECAST_ID_PREFIX + name,
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
                    mostCommonImage(jobs),
                    0,
                    submission.estimate(),
                    Duration.ZERO,
                    Duration.ZERO,
                    Optional.empty());
            int expectedSoon = expectedTasks(name, now);
            // A class without recent arrivals is not forecast any more.
            if (perClass > 0 && !arrivals.get(name).isEmpty()) {
                list.add(new ForecastJob(JobRecord.accepted(typical, Instant.EPOCH), expectedSoon));
            }
        });
        return list;
    }
}
