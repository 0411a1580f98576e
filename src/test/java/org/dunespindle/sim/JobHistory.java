package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Keys;

/**
 * Jobs that ended before a simulated cluster began to run, of a team that the settings no longer name. Their records are in the state store,
 * in the form that controllers write; of some jobs the users remember the end, so that later answers are checked against it.
 */
final class JobHistory {
    private static final String FORMER_TEAM = "former";
    private static final int JOBS_PER_CANCELLED_JOB = 10;
    private final SimulatedCluster cluster;
    private final List<String> remembered = new ArrayList<>();
    private final int size;

    private JobHistory(SimulatedCluster cluster, int size) {
        this.cluster = cluster;
        this.size = size;
    }

    /** Stores the records of ended jobs, older than the change log; the users remember the given number of them. */
    static JobHistory store(SimulatedCluster cluster, int size, int remembered) {
        var history = new JobHistory(cluster, size);
        for (int i = 0; i < size; i++) {
            cluster.state.addOldRow(Keys.job(id(i)), record(i));
        }
        for (int i = 0; i < remembered; i++) {
            int job = i * (size / remembered);
            history.remembered.add(id(job));
            cluster.users.rememberEnd(history.submission(id(job)), phase(job));
        }
        return history;
    }

    /** The id of a job of the history. */
    static String id(int job) {
        return "wk-1%06d".formatted(job);
    }

    /** The id of a job that was never submitted, but could be. */
    static String unknownId(int number) {
        return "wk-2%06d".formatted(number);
    }

    /** The phase in which a job ended. */
    static String phase(int job) {
        return isCancelled(job) ? "cancelled" : "done";
    }

    private static boolean isCancelled(int job) {
        return job % JOBS_PER_CANCELLED_JOB == 3;
    }

    /** The stored record of an ended job. */
    static JsonNode record(int job) {
        return MessagePackCodec.map()
                .put("at", 1_699_000_000_000L + job)
                .put("end", isCancelled(job) ? "CANCELLED" : "DONE")
                .put("next", isCancelled(job) ? 0 : 1);
    }

    /** The submission of a job, which its user repeats. It would be refused today: the settings don't name its team. */
    Submission submission(String id) {
        return ClusterTest.job(id, FORMER_TEAM, JobKind.ARRAY, 1, false, false);
    }

    int size() {
        return size;
    }

    /** The jobs whose end the users remember. */
    List<String> remembered() {
        return remembered;
    }

    /** Polls, repeats and cancels a random job of which the users remember the end, and polls an unknown one. */
    void ask(Random random) {
        String id = remembered.get(random.nextInt(remembered.size()));
        cluster.pollUnknownJob(unknownId(random.nextInt(size)));
        switch (random.nextInt(3)) {
            case 0 -> cluster.pollJob(id);
            case 1 -> cluster.resubmit(id);
            default -> cluster.users.cancelEnded(id);
        }
    }
}
