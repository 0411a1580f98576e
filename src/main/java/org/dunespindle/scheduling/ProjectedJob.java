package org.dunespindle.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/**
 * A job as it is stored, as far as known here, and as this controller expects it to be. What is expected may never come true: others may have
 * stored more of the job since it was proposed. It says where this controller's plans lead, and is no proof of what is there.
 *
 * @param stored the record that the copy of the store holds
 * @param expected the same with this controller's own proposal for it, and with the tasks marked that are to give way
 */
public record ProjectedJob(JobRecord stored, JobRecord expected) {
    /** A job for which this controller has proposed nothing. */
    public static ProjectedJob ofStored(JobRecord stored) {
        return new ProjectedJob(stored, stored);
    }

    /**
     * How many tasks count against limits: all that are stored, and those that are proposed beside them. A proposal that gives tasks up
     * frees nothing before it is stored.
     */
    int countedTasks() {
        return expected.allocations().size() + hidden().size();
    }

    /** Stored allocations that the expected record does not show: it was overtaken, or gives them up. */
    public List<Allocation> hidden() {
        if (stored == expected) {
            return List.of();
        }
        Set<Integer> shown = new HashSet<>();
        expected.allocations().forEach(allocation -> shown.add(allocation.task()));
        var hidden = new ArrayList<Allocation>();
        for (Allocation allocation : stored.allocations()) {
            if (!shown.contains(allocation.task())) {
                hidden.add(allocation);
            }
        }
        return hidden;
    }
}
