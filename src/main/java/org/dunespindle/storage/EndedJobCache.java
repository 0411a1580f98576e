package org.dunespindle.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Records of ended jobs, which never change again. The least recently used ones beyond a fixed number are dropped. */
final class EndedJobCache {
    private final Map<String, JobRecord> jobs;

    /** Creates an empty cache. */
    EndedJobCache(int maxJobs) {
        jobs = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, JobRecord> eldest) {
                return size() > maxJobs;
            }
        };
    }

    Optional<JobRecord> get(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    void put(JobRecord job) {
        jobs.put(job.id(), job);
    }

    void remove(String id) {
        jobs.remove(id);
    }

    int size() {
        return jobs.size();
    }
}
