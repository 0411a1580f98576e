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
 * Forecasts the demand of job classes whose jobs should start sooner than a machine boots. A forecast job is planned like a real one but its
 * tasks are never bound. Tasks that are expected within seconds withhold free capacity from lower-priority tasks, which would soon be preempted
 * again; for the rest of the forecast, capacity is reserved after all real jobs have been planned.
 */
public final class DemandForecast {
    private static final String FORECAST_ID_PREFIX = "~";
    private static final int RECENT_JOBS_PER_CLASS = 9;
    private static final Duration ARRIVAL_WINDOW = Duration.ofSeconds(120);
    private static final Duration FORECAST_HORIZON = Duration.ofSeconds(12);
    private final Set<String> forecastClasses = new HashSet<>();
    private final Map<String, ClassHistory> histories = new LinkedHashMap<>();
    private final Set<String> observedJobIds = new HashSet<>();

    /**
     * The expected demand of a job class.
     *
     * @param job a typical job, which is not stored
     * @param expectedSoon how many tasks of the class are expected within seconds
     */
    public record ForecastJob(JobRecord job, int expectedSoon) {}

    private record Arrival(Instant at, int tasks) {}

    /** The recent jobs and arrivals of one class. */
    private static final class ClassHistory {
        private final ArrayDeque<Submission> recentJobs = new ArrayDeque<>();
        private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

        void add(JobRecord job) {
            Submission submission = job.submission();
            recentJobs.addLast(submission);
            if (recentJobs.size() > RECENT_JOBS_PER_CLASS) {
                recentJobs.removeFirst();
            }
            arrivals.addLast(new Arrival(job.arrived(), submission.tasks()));
        }

        void removeArrivalsBefore(Instant oldest) {
            while (!arrivals.isEmpty() && arrivals.peekFirst().at.isBefore(oldest)) {
                arrivals.removeFirst();
            }
        }

        /** How many tasks are expected within the forecast horizon, extrapolated from the arrival rate of the window. */
        int expectedTasks() {
            int tasks = arrivals.stream().mapToInt(Arrival::tasks).sum();
            return (int) (tasks * FORECAST_HORIZON.toMillis() / ARRIVAL_WINDOW.toMillis());
        }

        /** The most frequent image among the recent jobs: machines that have it are worth keeping. */
        String mostCommonImage() {
            var counts = new LinkedHashMap<String, Integer>();
            recentJobs.forEach(job -> counts.merge(job.image(), 1, Integer::sum));
            return counts.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
        }

        int medianTasks() {
            int[] sizes =
                    recentJobs.stream().mapToInt(Submission::tasks).sorted().toArray();
            return sizes[sizes.length / 2];
        }

        /** A job like the latest one, with as many tasks as the given number of jobs of median size. */
        Submission typicalJob(String jobClass, int jobs) {
            Submission latest = recentJobs.getLast();
            return new Submission(
                    FORECAST_ID_PREFIX + jobClass,
                    jobClass,
                    latest.team(),
                    latest.kind(),
                    latest.priority(),
                    jobs * medianTasks(),
                    latest.perTask(),
                    latest.types(),
                    Optional.empty(),
                    latest.sameZone(),
                    latest.spread(),
                    latest.spot(),
                    mostCommonImage(),
                    0,
                    latest.estimate(),
                    Duration.ZERO,
                    Duration.ZERO,
                    Optional.empty());
        }
    }

    /** Creates a forecast for the job classes that have a waiting-time objective. */
    public DemandForecast(List<Settings.Objective> objectives) {
        objectives.stream()
                .filter(ObjectiveKind.WAIT::matches)
                .forEach(objective -> forecastClasses.add(objective.jobClass()));
    }

    /** Records the arrival of active jobs that have not been observed before. */
    public void observe(List<JobRecord> jobs) {
        var present = new HashSet<String>();
        for (JobRecord job : jobs) {
            present.add(job.id());
            boolean arrived = observedJobIds.add(job.id());
            if (arrived && forecastClasses.contains(job.submission().jobClass())) {
                histories
                        .computeIfAbsent(job.submission().jobClass(), jobClass -> new ClassHistory())
                        .add(job);
            }
        }
        observedJobIds.retainAll(present);
    }

    /**
     * Creates one forecast job for each class with recent arrivals.
     *
     * @param perClass the number of jobs of median size that each forecast job represents
     */
    public List<ForecastJob> forecastJobs(int perClass, Instant now) {
        var forecast = new ArrayList<ForecastJob>();
        histories.forEach((jobClass, history) -> {
            history.removeArrivalsBefore(now.minus(ARRIVAL_WINDOW));
            // A class without arrivals within the window is not forecast.
            if (perClass > 0 && !history.arrivals.isEmpty()) {
                JobRecord typical = JobRecord.accepted(history.typicalJob(jobClass, perClass), Instant.EPOCH);
                forecast.add(new ForecastJob(typical, history.expectedTasks()));
            }
        });
        return forecast;
    }
}
