package org.dunespindle.storage;

/**
 * What a replica holds in memory, and its reads of single jobs since the start.
 *
 * @param jobs job records in memory
 * @param keys keys whose revision is held
 * @param cancelledJobs cancelled jobs held for the other controllers
 * @param endedJobs jobs in the state store that have ended and have no allocations
 * @param cacheHits questions answered with a record that was read before
 * @param reads reads of single jobs
 * @param failedReads reads that failed
 * @param refusedReads reads that were not made because too many were waiting
 */
public record ReplicaStatistics(
        int jobs,
        int keys,
        int cancelledJobs,
        long endedJobs,
        long cacheHits,
        long reads,
        long failedReads,
        long refusedReads) {}
