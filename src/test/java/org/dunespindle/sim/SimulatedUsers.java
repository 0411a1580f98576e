package org.dunespindle.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.dunespindle.api.UserApi;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;

/** The users of a simulated cluster: they submit, poll, resubmit and cancel jobs, and record answers that violate the API's guarantees. */
final class SimulatedUsers {
    private final SimulatedCluster cluster;
    private final Map<String, Duration> finalStateAt = new HashMap<>();
    private final Map<String, Duration> submissionSentAt = new HashMap<>();

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns when a user first received a final state (done or cancelled) of a job. */
    Optional<Duration> finalStateReportedAt(String id) {
        return cluster.isOver(id) ? Optional.ofNullable(finalStateAt.get(id)) : Optional.empty();
    }

    /** Records a job that ended, and whose end its user was told, before the run. */
    void rememberEnd(Submission job, String phase) {
        cluster.jobs.put(job.id(), job);
        cluster.reportedPhases.put(job.id(), phase);
        finalStateAt.put(job.id(), cluster.sim.now());
        if (phase.equals("cancelled")) {
            cluster.cancelRequested.add(job.id());
        } else {
            cluster.done.put(job.id(), IntStream.range(0, job.tasks()).boxed().collect(Collectors.toSet()));
        }
    }

    void submit(Submission job) {
        cluster.jobs.put(job.id(), job);
        cluster.submittedAt.putIfAbsent(job.id(), cluster.sim.now());
        sendSubmission(job);
    }

    /** Resubmits an accepted job; the answer must show that the job is known, whatever its state. */
    void resubmit(String id) {
        Duration requestedAt = cluster.sim.now();
        if (!cluster.reportedPhases.containsKey(id)) {
            return;
        }
        request(
                n -> n.submit(MessagePackCodec.write(cluster.jobs.get(id).toNode()), a -> {
                    if (a.status() == 200 || a.status() == 201) {
                        onAnswer(id, requestedAt, a);
                    } else if (a.status() != 503) {
                        cluster.violations.add("forgotten: repeated submission of " + id + " answered " + a.status());
                    }
                }),
                () -> {});
    }

    /** Polls the state of an accepted job. */
    void pollJob(String id) {
        Duration requestedAt = cluster.sim.now();
        request(
                n -> n.poll(id, a -> {
                    if (a.status() == 200) {
                        onAnswer(id, requestedAt, a);
                    } else if (a.status() == 404) {
                        cluster.violations.add("forgotten: " + id);
                    }
                }),
                () -> {});
    }

    /** Polls a job that was never submitted; the answer must not be 200. */
    void pollUnknownJob(String id) {
        request(
                n -> n.poll(id, a -> {
                    if (a.status() == 200) {
                        cluster.violations.add("invented: " + id);
                    }
                }),
                () -> {});
    }

    private void sendSubmission(Submission job) {
        Duration requestedAt = cluster.sim.now();
        // A controller that crashes with the request never answers it; the user retries after 5 s.
        cluster.sim.after(5000, () -> {
            if (!cluster.reportedPhases.containsKey(job.id())
                    && !(submissionSentAt.get(job.id()).compareTo(requestedAt) > 0)) {
                sendSubmission(job);
            }
        });
        submissionSentAt.put(job.id(), requestedAt);
        request(
                n -> n.submit(MessagePackCodec.write(job.toNode()), a -> {
                    if (a.status() == 200 || a.status() == 201) {
                        onAnswer(job.id(), requestedAt, a);
                    } else if (a.status() != 503) {
                        cluster.violations.add("submission of " + job.id() + " answered " + a.status());
                    } else {
                        cluster.sim.after(1000, () -> sendSubmission(job));
                    }
                }),
                () -> sendSubmission(job));
    }

    private void request(Consumer<UserApi> call, Runnable ifUnreachable) {
        cluster.reachableApi().ifPresentOrElse(call, () -> cluster.sim.after(500, ifUnreachable));
    }

    /** Requests the cancellation of a job that has ended; the answer must be its final state. */
    void cancelEnded(String id) {
        Duration requestedAt = cluster.sim.now();
        request(
                n -> n.cancel(id, a -> {
                    if (a.status() == 200) {
                        onAnswer(id, requestedAt, a);
                    } else if (a.status() != 503) {
                        cluster.violations.add("forgotten: cancellation of " + id + " answered " + a.status());
                    }
                }),
                () -> {});
    }

    void cancel(String id) {
        Duration requestedAt = cluster.sim.now();
        cluster.cancelRequested.add(id);
        request(
                n -> n.cancel(id, a -> {
                    if (a.status() == 200) {
                        onAnswer(id, requestedAt, a);
                    } else {
                        cluster.sim.after(1000, () -> cancel(id));
                    }
                }),
                () -> cancel(id));
    }

    /**
     * Checks an answer against earlier ones. Two different final states are always a violation. Answers to overlapping requests may arrive
     * in any order, so a non-final state after a final one is a violation only if its request was sent after the final state was received.
     */
    private void onAnswer(String id, Duration requestedAt, UserApi.Answer a) {
        String phase = a.body().path("phase").asText();
        String previous = cluster.reportedPhases.getOrDefault(id, "");
        boolean wasFinal = previous.equals("done") || previous.equals("cancelled");
        if (wasFinal && !previous.equals(phase) && requestedAt.compareTo(finalStateAt.get(id)) > 0) {
            cluster.violations.add("went_back: " + id + " was " + previous + ", now " + phase);
        }
        if (!wasFinal) {
            cluster.reportedPhases.put(id, phase);
            finalStateAt.put(id, cluster.sim.now());
        } else if (!previous.equals(phase) && (phase.equals("done") || phase.equals("cancelled"))) {
            cluster.violations.add("went_back: " + id + " was reported as " + previous + " and as " + phase);
        }
        if (phase.equals("cancelled")) {
            if (!cluster.cancelRequested.contains(id)) {
                cluster.violations.add("went_back: " + id + " cancelled without a request");
            }
            if (cluster.cancelled.putIfAbsent(id, cluster.sim.now()) == null) {
                cluster.sim.after(
                        SimulatedCluster.CANCEL_TIMEOUT.plusMillis(1),
                        cluster.invariants::checkLimitsAndCancelledTasks);
            }
        }
        if (phase.equals("done")
                && cluster.done.getOrDefault(id, Set.of()).size()
                        < cluster.jobs.get(id).tasks()) {
            cluster.violations.add("not_done: " + id);
        }
    }
}
