package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.dunespindle.storage.JobRecord;

/** The active jobs of a snapshot, each with its stored and its projected record. */
public final class ProjectedJobs {
    private final List<ProjectedJob> all;
    private final List<JobRecord> records;
    private final List<ProjectedJob> withUnprojectedAllocations;

    /** Creates the collection; the order of the jobs is kept. */
    public ProjectedJobs(List<ProjectedJob> all) {
        this.all = all;
        this.records = new ArrayList<>(all.size());
        this.withUnprojectedAllocations = new ArrayList<>();
        for (ProjectedJob job : all) {
            records.add(job.projected());
            if (!job.unprojectedAllocations().isEmpty()) {
                withUnprojectedAllocations.add(job);
            }
        }
    }

    /** Jobs without any pending proposal by this controller. */
    public static ProjectedJobs ofStored(List<JobRecord> stored) {
        return new ProjectedJobs(stored.stream().map(ProjectedJob::unchanged).toList());
    }

    /** The projected records, in the given order. */
    public List<JobRecord> records() {
        return records;
    }

    /** Jobs with stored allocations that their projected record does not contain. */
    public List<ProjectedJob> withUnprojectedAllocations() {
        return withUnprojectedAllocations;
    }

    /** The usage that counts against the teams' quotas. */
    public TeamUsage usage() {
        return TeamUsage.projected(all);
    }
}
