package org.dunespindle.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dunespindle.api.UserApi;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;

/** The users of a simulated cluster: they submit, ask, repeat and call off, and note answers that must not be. */
final class SimulatedUsers {
    private final SimulatedCluster cluster;
    private final Map<String, Duration> overAt = new HashMap<>();
    private final Map<String, Duration> offered = new HashMap<>();

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** When a job's user was told first that it is over. */
    Optional<Duration> toldOverAt(String id) {
        return cluster.over(id) ? Optional.ofNullable(overAt.get(id)) : Optional.empty();
    }

    void submit(Submission job) {
        cluster.jobs.put(job.id(), job);
        cluster.submittedAt.putIfAbsent(job.id(), cluster.sim.now());
        offer(job);
    }

    /** A user repeats a submission; whatever became of the job meanwhile, it is known. */
    void repeat(String id) {
        Duration asked = cluster.sim.now();
        if (!cluster.told.containsKey(id)) {
            return;
        }
        ask(
                n -> n.submit(MessagePackCodec.write(cluster.jobs.get(id).toNode()), a -> {
                    if (a.status() == 200 || a.status() == 201) {
                        told(id, asked, a);
                    } else if (a.status() != 503) {
                        cluster.broken.add("forgotten: repeated submission of " + id + " answered " + a.status());
                    }
                }),
                () -> {});
    }

    /** A user asks how an accepted job stands. */
    void askAbout(String id) {
        Duration asked = cluster.sim.now();
        ask(
                n -> n.poll(id, a -> {
                    if (a.status() == 200) {
                        told(id, asked, a);
                    } else if (a.status() == 404) {
                        cluster.broken.add("forgotten: " + id);
                    }
                }),
                () -> {});
    }

    /** A user asks about a job that nobody submitted. */
    void askForStranger(String id) {
        ask(
                n -> n.poll(id, a -> {
                    if (a.status() == 200) {
                        cluster.broken.add("invented: " + id);
                    }
                }),
                () -> {});
    }

    private void offer(Submission job) {
        Duration asked = cluster.sim.now();
        // A controller that dies with the request never answers it; its user asks again.
        cluster.sim.after(5000, () -> {
            if (!cluster.told.containsKey(job.id()) && !(offered.get(job.id()).compareTo(asked) > 0)) {
                offer(job);
            }
        });
        offered.put(job.id(), asked);
        ask(
                n -> n.submit(MessagePackCodec.write(job.toNode()), a -> {
                    if (a.status() == 200 || a.status() == 201) {
                        told(job.id(), asked, a);
                    } else if (a.status() != 503) {
                        cluster.broken.add("submission of " + job.id() + " answered " + a.status());
                    } else {
                        cluster.sim.after(1000, () -> offer(job));
                    }
                }),
                () -> offer(job));
    }

    private void ask(Consumer<UserApi> question, Runnable otherwise) {
        cluster.reachable().ifPresentOrElse(question, () -> cluster.sim.after(500, otherwise));
    }

    void cancel(String id) {
        Duration asked = cluster.sim.now();
        cluster.wantedGone.add(id);
        ask(
                n -> n.cancel(id, a -> {
                    if (a.status() == 200) {
                        told(id, asked, a);
                    } else {
                        cluster.sim.after(1000, () -> cancel(id));
                    }
                }),
                () -> cancel(id));
    }

    /** Takes an answer to a question asked at some time; answers that crossed a newer one say nothing about order. */
    private void told(String id, Duration asked, UserApi.Answer a) {
        String phase = a.body().path("phase").asText();
        String before = cluster.told.getOrDefault(id, "");
        boolean over = before.equals("done") || before.equals("cancelled");
        if (over && !before.equals(phase) && asked.compareTo(overAt.get(id)) > 0) {
            cluster.broken.add("went_back: " + id + " was " + before + ", now " + phase);
        }
        if (!over) {
            cluster.told.put(id, phase);
            overAt.put(id, cluster.sim.now());
        } else if (!before.equals(phase) && (phase.equals("done") || phase.equals("cancelled"))) {
            cluster.broken.add("went_back: " + id + " was told " + before + " and " + phase);
        }
        if (phase.equals("cancelled")) {
            if (!cluster.wantedGone.contains(id)) {
                cluster.broken.add("went_back: " + id + " cancelled by nobody");
            }
            if (cluster.cancelled.putIfAbsent(id, cluster.sim.now()) == null) {
                cluster.sim.after(SimulatedCluster.CANCEL.plusMillis(1), cluster.rules::quota);
            }
        }
        if (phase.equals("done")
                && cluster.done.getOrDefault(id, Set.of()).size()
                        < cluster.jobs.get(id).tasks()) {
            cluster.broken.add("not_done: " + id);
        }
    }
}
