package org.dunespindle.control;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.time.Durations;

/** The state of one worker's agent as observed by this controller. It is kept in memory only; safety does not depend on it. */
public final class WorkerState {
    private static final int MAX_CACHED_IMAGES = 12;
    private Optional<WorkerHeartbeat> lastHeartbeat = Optional.empty();
    private Optional<Duration> lastHeartbeatAt = Optional.empty();
    private Optional<Duration> lastAnswerAt = Optional.empty();
    private long highestAnsweredToken = -1;
    private Duration lastNewStatusAt = Duration.ZERO;
    private boolean callInFlight;
    private boolean inspectionInFlight;
    private final UnansweredInspections unansweredInspections = new UnansweredInspections();
    private Optional<Long> unansweredStartToken = Optional.empty();
    private Duration startUnansweredAt = Duration.ZERO;
    private Optional<Duration> commandsUnconfirmedSince = Optional.empty();
    private Duration nextCallAt = Duration.ZERO;
    private Optional<Duration> rejectedWhilePartitionedAt = Optional.empty();
    private List<TaskTermination> terminations = List.of();
    private Duration terminationsSince = Duration.ZERO;
    private String lastPublished = "";
    private long lastPublishedSequence;
    private final RedirectCounter redirects = new RedirectCounter();
    private final SentStarts sentStarts = new SentStarts();
    /** Cached images in order of their last use, the most recent last. */
    private final LinkedHashMap<String, Boolean> images = new LinkedHashMap<>();

    /** The newest status from the worker, in a heartbeat or in an answer. */
    public Optional<WorkerHeartbeat> lastHeartbeat() {
        return lastHeartbeat;
    }

    /** The highest fencing token that the worker is known to have seen, if it has sent any status. */
    public Optional<Long> lastReportedToken() {
        return lastHeartbeat.map(WorkerHeartbeat::token);
    }

    /**
     * When the worker last sent a heartbeat here, or first answered under its current token, as it may not have sent a heartbeat under
     * that token yet. Later answers do not count: they show that it is up, but not that its heartbeats arrive, and without heartbeats its
     * lease expires.
     */
    public Optional<Duration> lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** When the worker last gave a sign of life, that is, a heartbeat or an answer. */
    public Optional<Duration> lastSeenAlive() {
        return Durations.latest(lastHeartbeatAt, lastAnswerAt);
    }

    /** When a status newer than all earlier ones was last received, even if it was a late copy. */
    Duration lastNewStatusAt() {
        return lastNewStatusAt;
    }

    /**
     * Records a heartbeat. Late copies have no effect. The first heartbeat may be a late copy too, so it does not count as a sign of life.
     *
     * @return whether it is newer than the last recorded status
     */
    public boolean acceptHeartbeat(WorkerHeartbeat heartbeat, Duration now) {
        boolean first = lastHeartbeat.isEmpty();
        boolean newer = acceptStatus(heartbeat, now);
        if (newer && !first) {
            lastHeartbeatAt = Optional.of(now);
        }
        return newer;
    }

    /** Records that a heartbeat under the current fencing token was answered, which renews the worker's lease. */
    public void leaseRenewed(Duration now) {
        lastHeartbeatAt = Optional.of(now);
    }

    /** Records the status in a worker's answer to a command or an inspection. */
    public void statusAnswered(WorkerHeartbeat status, Duration now) {
        acceptStatus(status, now);
        if (lastHeartbeatAt.isEmpty() || status.token() > highestAnsweredToken) {
            lastHeartbeatAt = Optional.of(now);
            highestAnsweredToken = status.token();
        }
        lastAnswerAt = Optional.of(now);
        commandsUnconfirmedSince = Optional.empty();
    }

    private boolean acceptStatus(WorkerHeartbeat status, Duration now) {
        if (lastHeartbeat.isPresent()) {
            if (!status.newerThan(lastHeartbeat.get())) {
                return false;
            }
            if (status.agentEpoch() > lastHeartbeat.get().agentEpoch()) {
                // The worker's lease expired although it is up: this controller's answers may not reach it.
                callUnanswered(now);
            }
        }
        lastNewStatusAt = now;
        lastHeartbeat = Optional.of(status);
        return true;
    }

    /** Whether a direct command is in flight; until it ends, the worker's status is not conclusive. */
    public boolean callInFlight() {
        return callInFlight;
    }

    /** Records that a direct command is about to be sent. */
    public void callStarted(long token, long agentEpoch, List<WorkerCommand> commands) {
        sentStarts.record(token, agentEpoch, commands);
        callInFlight = true;
    }

    /** Records that a direct command was answered or has failed. */
    public void callEnded() {
        callInFlight = false;
    }

    /** Records that commands may not reach the worker. */
    public void callUnanswered(Duration now) {
        if (commandsUnconfirmedSince.isEmpty()) {
            commandsUnconfirmedSince = Optional.of(now);
        }
    }

    /**
     * Since when no command has been confirmed; empty while commands are. Heartbeats show that a machine is alive, but not that commands
     * reach it.
     */
    public Optional<Duration> commandsUnconfirmedSince() {
        return commandsUnconfirmedSince;
    }

    /** Records that commands should be retried immediately, and that earlier failures no longer count. */
    public void commandRetryDue(Duration now) {
        commandsUnconfirmedSince = Optional.of(now);
        nextCallAt = now;
    }

    /** Sets the earliest time of the next direct command. */
    public void nextCallNotBefore(Duration time) {
        nextCallAt = time;
    }

    /** Whether the earliest time of the next direct command is still to come. */
    public boolean callDelayed(Duration now) {
        return nextCallAt.compareTo(now) > 0;
    }

    /** Whether an inspection is in flight. */
    public boolean inspectionInFlight() {
        return inspectionInFlight;
    }

    /** Records that an inspection is about to start. */
    public void inspectionStarted(Duration now) {
        inspectionInFlight = true;
        unansweredInspections.started(now);
    }

    /** Records that an inspection was answered or has failed. */
    public void inspectionEnded(boolean answered) {
        inspectionInFlight = false;
        unansweredInspections.ended(answered);
    }

    /** When the earlier of the last two inspections by any component started, if both went unanswered; empty otherwise. */
    public Optional<Duration> unansweredTwiceSince() {
        return unansweredInspections.twiceSince();
    }

    /** The token of a {@code run} command that went unanswered and may still take effect; empty once it is fenced. */
    public Optional<Long> unansweredStartToken() {
        return unansweredStartToken;
    }

    /** Records that a {@code run} command went unanswered: it may or may not have taken effect. */
    public void startUnanswered(long token, Duration now) {
        unansweredStartToken = Optional.of(token);
        startUnansweredAt = now;
    }

    /** Records that a higher fencing token has invalidated the unanswered {@code run} command. */
    public void startFenced() {
        unansweredStartToken = Optional.empty();
    }

    /** Whether the worker gave a sign of life after a {@code run} command went unanswered. */
    public boolean seenAliveSinceUnansweredStart() {
        return lastSeenAlive()
                .filter(seen -> seen.compareTo(startUnansweredAt) > 0)
                .isPresent();
    }

    /** Whether any {@code run} command was sent under this token and the worker's current agent epoch. */
    public boolean hasStartsUnder(long token) {
        return sentStarts.anyUnder(token);
    }

    /** Whether a late copy of an attempt's {@code run} command could still take effect; then the worker must not forget the attempt. */
    public boolean mayStartAgain(WorkerCommand.Forget forget, long token) {
        return sentStarts.contains(new WorkerCommand.Run(forget.task(), forget.attempt()), token);
    }

    /** Whether the last status is conclusive: it carries this token, and no {@code run} command may still take effect. */
    public boolean isConclusiveUnder(long token) {
        return !callInFlight
                && unansweredStartToken.isEmpty()
                && lastHeartbeat.isPresent()
                && lastHeartbeat.get().token() == token;
    }

    /**
     * Records that the worker sent a heartbeat here although another controller owns its machine.
     *
     * @param machineRevision the revision of the machine's record
     */
    public void redirected(long machineRevision, Duration now) {
        redirects.record(machineRevision, now);
    }

    /** How often in a row the worker was redirected. */
    public int redirects() {
        return redirects.attempts();
    }

    /**
     * When this controller last recorded that it rejected the worker's heartbeat while partitioned from the state service. Rejections
     * soon after a recorded one are not recorded.
     */
    public Optional<Duration> rejectedWhilePartitionedAt() {
        return rejectedWhilePartitionedAt;
    }

    /** Records that the worker's heartbeat is rejected while this controller is partitioned from the state service. */
    public void rejectedWhilePartitioned(Duration now) {
        rejectedWhilePartitionedAt = Optional.of(now);
    }

    /** The task terminations on this machine that are not stored yet. */
    public List<TaskTermination> terminations() {
        return terminations;
    }

    /** Since when there have been task terminations that are not stored yet. */
    public Duration terminationsSince() {
        return terminationsSince;
    }

    /** Replaces the task terminations that are not stored yet. */
    public void recordTerminations(List<TaskTermination> current, Duration now) {
        if (terminations.isEmpty()) {
            terminationsSince = now;
        }
        terminations = current;
    }

    /** Records that the machine has an image cached and is using it. */
    public void imageFetched(String image) {
        images.remove(image);
        images.put(image, true); // now the most recently used
        if (images.size() > MAX_CACHED_IMAGES) {
            images.remove(images.keySet().iterator().next());
        }
    }

    /** The images that the machine is known to have cached. */
    public Set<String> images() {
        return images.keySet();
    }

    /** The last status of the machine that was published to the leader. */
    public String lastPublished() {
        return lastPublished;
    }

    /** The sequence number of {@link #lastPublished()}. */
    public long lastPublishedSequence() {
        return lastPublishedSequence;
    }

    /** Records the status of the machine that is published to the leader, and its sequence number. */
    public void published(String status, long sequence) {
        lastPublished = status;
        lastPublishedSequence = sequence;
    }
}
