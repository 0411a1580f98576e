package org.dunespindle.worker;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.dunespindle.peer.PeerHeartbeats;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.time.TimeSource;

/**
 * Inspects the workers of suspected machines before the machines are declared failed. A machine's owner may be unable to reach this
 * controller or the machine; in the second case another controller becomes its owner.
 */
final class SuspectInspection {
    /** A machine fails after this many answers to inspections without a heartbeat at any controller: its lease cannot be renewed. */
    private static final int MAX_ANSWERS_WITHOUT_HEARTBEAT = 3;

    /** How long a machine counts as failed after an unanswered inspection, before its worker is inspected again. */
    private static final Duration FAILURE_RETENTION = Duration.ofSeconds(12);

    private final TimeSource timeSource;
    private final WorkerClient workerClient;
    private final PeerHeartbeats peerHeartbeats;
    private final Function<String, Optional<String>> listedAddress;
    private final Map<String, Answers> answers = new HashMap<>();
    private final Map<String, Duration> unansweredAt = new HashMap<>();

    private record Answers(int count, Duration lastAt) {
        Answers next(Duration now) {
            return new Answers(count + 1, now);
        }
    }

    /**
     * Creates an inspection without results.
     *
     * @param listedAddress a machine's address in the cloud's list; the record of a rented machine lacks it until the first heartbeat
     */
    SuspectInspection(
            TimeSource timeSource,
            WorkerClient workerClient,
            PeerHeartbeats peerHeartbeats,
            Function<String, Optional<String>> listedAddress) {
        this.timeSource = timeSource;
        this.workerClient = workerClient;
        this.peerHeartbeats = peerHeartbeats;
        this.listedAddress = listedAddress;
    }

    /** Discards all results. */
    void reset() {
        answers.clear();
        unansweredAt.clear();
    }

    /** Discards the results for a machine. */
    void forget(String machineId) {
        answers.remove(machineId);
        unansweredAt.remove(machineId);
    }

    /** Discards the answers of a machine whose heartbeats resumed, if the last answer is older than this. */
    void discardAnswersOlderThan(Duration age, String machineId) {
        Answers earlier = answers.get(machineId);
        if (earlier != null && timeSource.now().minus(earlier.lastAt).compareTo(age) > 0) {
            answers.remove(machineId);
        }
    }

    /** Whether a suspected machine may be alive: its worker answers inspections, or an inspection has just been started. */
    boolean mayBeAlive(MachineRecord machine) {
        return !hasRecentFailure(machine.id()) && !hasAnsweredTooOften(machine.id()) && inspect(machine);
    }

    /**
     * Whether a machine doesn't answer: two inspections in a row, by any component, went unanswered. Starts another one otherwise.
     *
     * @param lastSeen when the machine last gave a sign of life; inspections before that prove nothing
     */
    boolean isUnansweredTwice(MachineRecord machine, Optional<Duration> lastSeen) {
        boolean unanswered = workerClient
                .unansweredTwiceSince(machine.id())
                .filter(since -> lastSeen.isEmpty() || since.compareTo(lastSeen.get()) > 0)
                .filter(this::isRecent)
                .isPresent();
        return unanswered || !inspect(machine);
    }

    /** Starts an inspection, unless one is in flight or too many calls are; false if the machine has no known address. */
    private boolean inspect(MachineRecord machine) {
        String address = address(machine);
        if (address.isEmpty()) {
            return false;
        }
        workerClient.inspector().inspect(machine, address, alive -> record(machine.id(), alive));
        return true;
    }

    private boolean hasRecentFailure(String machineId) {
        Duration failedAt = unansweredAt.get(machineId);
        return failedAt != null && isRecent(failedAt);
    }

    private boolean isRecent(Duration failedAt) {
        return timeSource.now().minus(failedAt).compareTo(FAILURE_RETENTION) < 0;
    }

    private boolean hasAnsweredTooOften(String machineId) {
        Answers earlier = answers.get(machineId);
        return earlier != null && earlier.count >= MAX_ANSWERS_WITHOUT_HEARTBEAT;
    }

    private String address(MachineRecord machine) {
        String known = peerHeartbeats
                .address(machine)
                .orElse(workerClient.reachability().address(machine));
        return known.isEmpty() ? listedAddress.apply(machine.id()).orElse("") : known;
    }

    private void record(String machineId, boolean alive) {
        Duration now = timeSource.now();
        if (alive) {
            unansweredAt.remove(machineId);
            answers.put(
                    machineId,
                    answers.getOrDefault(machineId, new Answers(0, now)).next(now));
        } else {
            unansweredAt.put(machineId, now);
        }
    }
}
