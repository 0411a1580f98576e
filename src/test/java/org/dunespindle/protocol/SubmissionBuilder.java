package org.dunespindle.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Builds submissions for tests; the defaults describe a small job array of one task. */
public final class SubmissionBuilder {
    private final String id;
    private String jobClass = "class";
    private String team = "red";
    private JobKind kind = JobKind.ARRAY;
    private Priority priority = Priority.NORMAL;
    private int tasks = 1;
    private Resources perTask = new Resources(1, 1, 1);
    private Optional<List<String>> types = Optional.empty();
    private Optional<String> zone = Optional.empty();
    private boolean sameZone = false;
    private boolean spread = false;
    private boolean spot = false;
    private String image = "image";
    private double imageGb = 1;
    private Duration estimate = Duration.ofSeconds(20);
    private Duration checkpointInterval = Duration.ZERO;
    private Duration checkpointTime = Duration.ZERO;
    private Optional<Duration> due = Optional.empty();

    private SubmissionBuilder(String id) {
        this.id = id;
    }

    /** Begins a submission with this id. */
    public static SubmissionBuilder submission(String id) {
        return new SubmissionBuilder(id);
    }

    /** Returns the submission of an array with one task. */
    public static Submission oneTask(String id) {
        return submission(id)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .priority(Priority.LOW)
                .tasks(1)
                .image("i")
                .estimate(Duration.ofSeconds(1))
                .build();
    }

    /** Sets the job class, which determines the service-level objectives. */
    public SubmissionBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** Sets the team whose quota the job counts against. */
    public SubmissionBuilder team(String value) {
        team = value;
        return this;
    }

    /** Sets whether the job is an array, a gang or a service. */
    public SubmissionBuilder kind(JobKind value) {
        kind = value;
        return this;
    }

    /** Sets the priority. */
    public SubmissionBuilder priority(Priority value) {
        priority = value;
        return this;
    }

    /** Sets the number of tasks. */
    public SubmissionBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** Sets the resources of each task. */
    public SubmissionBuilder perTask(Resources value) {
        perTask = value;
        return this;
    }

    /** Sets the machine types that the job may use. */
    public SubmissionBuilder types(Optional<List<String>> value) {
        types = value;
        return this;
    }

    /** Sets the only zone that the job may use. */
    public SubmissionBuilder zone(Optional<String> value) {
        zone = value;
        return this;
    }

    /** Sets whether all tasks must be in one zone. */
    public SubmissionBuilder sameZone(boolean value) {
        sameZone = value;
        return this;
    }

    /** Sets whether the tasks must be spread over at least two zones. */
    public SubmissionBuilder spread(boolean value) {
        spread = value;
        return this;
    }

    /** Sets whether spot machines may be used. */
    public SubmissionBuilder spot(boolean value) {
        spot = value;
        return this;
    }

    /** Sets the image. */
    public SubmissionBuilder image(String value) {
        image = value;
        return this;
    }

    /** Sets the size of the image in gigabytes. */
    public SubmissionBuilder imageGb(double value) {
        imageGb = value;
        return this;
    }

    /** Sets how long a task is expected to take. */
    public SubmissionBuilder estimate(Duration value) {
        estimate = value;
        return this;
    }

    /** Sets the interval between checkpoints; zero for none. */
    public SubmissionBuilder checkpointInterval(Duration value) {
        checkpointInterval = value;
        return this;
    }

    /** Sets how long writing a checkpoint takes. */
    public SubmissionBuilder checkpointTime(Duration value) {
        checkpointTime = value;
        return this;
    }

    /** Sets the time from submission within which the job should end. */
    public SubmissionBuilder due(Optional<Duration> value) {
        due = value;
        return this;
    }

    /** Builds the submission. */
    public Submission build() {
        return new Submission(
                id,
                jobClass,
                team,
                kind,
                priority,
                tasks,
                perTask,
                types,
                zone,
                sameZone,
                spread,
                spot,
                image,
                imageGb,
                estimate,
                checkpointInterval,
                checkpointTime,
                due);
    }
}
