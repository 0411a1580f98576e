package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntRBTreeSet;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;

/**
 * The stored form of a job's record as one value. The record of a finished job has no submission and is stored with a few
 * fields only.
 */
final class JobRecordCodec {
    private static final String ARRIVED = "at";
    private static final String OUTCOME = "end";
    private static final String SUBMISSION = "job";
    private static final String ATTEMPT_COUNTER = "gen";
    private static final String NEXT_TASK_INDEX = "next";
    private static final String GANG_PHASE = "mode";
    private static final String GANG_ATTEMPT = "try";
    private static final String QUEUE_POSITION = "order";
    private static final String FAILURES = "fails";
    private static final String NOT_BEFORE = "wait";
    private static final String REQUEUED = "again";
    private static final String ALLOCATIONS = "claims";

    private JobRecordCodec() {}

    /** Formats a record as one value. */
    static ObjectNode toNode(JobRecord job) {
        ObjectNode node = MessagePackCodec.map();
        putEnvelope(node, job);
        if (job.spec().isEmpty()) {
            job.delegationLink().ifPresent(link -> DelegationLinkCodec.put(node, link));
            return node.put(NEXT_TASK_INDEX, job.nextTaskIndex());
        }
        node.set(SUBMISSION, job.submission().toNode());
        putProgress(node, job);
        node.put(REQUEUED, formatRequeued(job));
        node.set(ALLOCATIONS, AllocationCodec.toJson(job.allocations()));
        return node;
    }

    /** Adds the fields that all forms start with. */
    static void putEnvelope(ObjectNode node, JobRecord job) {
        node.put(ARRIVED, job.arrived().toEpochMilli())
                .put(OUTCOME, job.outcome().name());
    }

    /** Adds the fields of bounded length that a job has until it is finished. */
    static void putProgress(ObjectNode node, JobRecord job) {
        node.put(ATTEMPT_COUNTER, job.attemptCounter())
                .put(NEXT_TASK_INDEX, job.nextTaskIndex())
                .put(GANG_PHASE, job.gangPhase().stored())
                .put(GANG_ATTEMPT, job.gangAttempt())
                .put(QUEUE_POSITION, job.queuePosition())
                .put(FAILURES, job.failures());
        job.notBefore().ifPresent(time -> node.put(NOT_BEFORE, time.toEpochMilli()));
        job.delegationLink().ifPresent(link -> DelegationLinkCodec.put(node, link));
    }

    /** Formats the requeued tasks as index ranges. */
    static String formatRequeued(JobRecord job) {
        return TaskIndexSet.format(new IntArrayList(new IntRBTreeSet(job.requeued())));
    }

    /** Parses a record stored as one value. */
    static JobRecord parse(String id, JsonNode node) throws MalformedMessageException {
        if (!node.has(SUBMISSION)) {
            return parseFinished(id, node);
        }
        List<Allocation> allocations = AllocationCodec.parseJson(node.path(ALLOCATIONS));
        Submission spec = Submission.parse(node.get(SUBMISSION));
        return parseUnfinished(id, node, spec, allocations, node.path(REQUEUED).asText(""));
    }

    private static JobRecord parseFinished(String id, JsonNode node) throws MalformedMessageException {
        return JobRecord.finished(
                id,
                arrived(node),
                outcome(node),
                node.path(NEXT_TASK_INDEX).intValue(),
                DelegationLinkCodec.parse(node));
    }

    /** Parses a record whose submission and allocations have been parsed already. */
    static JobRecord parseUnfinished(
            String id, JsonNode node, Submission spec, List<Allocation> allocations, String requeued)
            throws MalformedMessageException {
        return new JobRecord(
                id,
                Optional.of(spec),
                arrived(node),
                outcome(node),
                node.path(ATTEMPT_COUNTER).longValue(),
                node.path(NEXT_TASK_INDEX).intValue(),
                List.copyOf(TaskIndexSet.parse(requeued)),
                List.copyOf(allocations),
                JobRecord.GangPhase.parse(node.path(GANG_PHASE).asText(JobRecord.GangPhase.QUEUED.stored())),
                node.path(GANG_ATTEMPT).longValue(),
                node.path(QUEUE_POSITION).longValue(),
                node.path(FAILURES).intValue(),
                notBefore(node),
                DelegationLinkCodec.parse(node));
    }

    private static Instant arrived(JsonNode node) {
        return Instant.ofEpochMilli(node.path(ARRIVED).longValue());
    }

    private static JobRecord.Outcome outcome(JsonNode node) {
        return JobRecord.Outcome.valueOf(node.path(OUTCOME).asText(JobRecord.Outcome.OPEN.name()));
    }

    private static Optional<Instant> notBefore(JsonNode node) {
        return node.has(NOT_BEFORE)
                ? Optional.of(Instant.ofEpochMilli(node.get(NOT_BEFORE).longValue()))
                : Optional.empty();
    }
}
