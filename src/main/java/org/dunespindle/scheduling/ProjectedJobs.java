package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.dunespindle.storage.JobRecord;

/** The living jobs as a plan sees them: what is expected of each, and what counts whatever becomes of that. */
public final class ProjectedJobs {
    private final List<ProjectedJob> all;
    private final List<JobRecord> expected;
    private final List<ProjectedJob> overtaken;

    public ProjectedJobs(List<ProjectedJob> all) {
        this.all = all;
        this.expected = new ArrayList<>(all.size());
        this.overtaken = new ArrayList<>();
        for (ProjectedJob job : all) {
            expected.add(job.expected());
            if (!job.hidden().isEmpty()) {
                overtaken.add(job);
            }
        }
    }

    /** Jobs for which nothing is proposed. */
    public static ProjectedJobs ofStored(List<JobRecord> stored) {
        return new ProjectedJobs(stored.stream().map(ProjectedJob::ofStored).toList());
    }

    /** The records that this controller expects. */
    public List<JobRecord> expected() {
        return expected;
    }

    /** Jobs with stored allocations that the expected record does not show. */
    public List<ProjectedJob> overtaken() {
        return overtaken;
    }

    /** What counts against the teams' limits. */
    public TeamUsage use() {
        return TeamUsage.counted(all);
    }
}
