package org.dunespindle.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.time.Durations;

/** One worker as seen from here. */
public final class WorkerState {
    private static final int REMEMBERED_IMAGES = 12;
    public Optional<WorkerHeartbeat> lastHeartbeat = Optional.empty();
    /**
     * When the worker last reported here, or was first reached under its present token, which leaves it no time yet to report. That
     * it answers later shows that it is there, not that its reports arrive: without them its lease runs out.
     */
    public Optional<Duration> lastHeartbeatAt = Optional.empty();
    /** When it last answered when asked or commanded. */
    Optional<Duration> lastAnswerAt = Optional.empty();

    private long answeredUnder = -1;
    /** When anything new came from it, be it an old copy. */
    Duration seenAt = Duration.ZERO;
    /** A direct command is under way; nothing is concluded until its answer is in. */
    public boolean callInFlight;
    /** A {@code run} went unanswered under this token and may still land; empty once fenced off. */
    public Optional<Long> unansweredStartToken = Optional.empty();

    public Duration unansweredAt = Duration.ZERO;
    /** Since when no command is known to arrive: reports alone prove a machine alive, not that it can be commanded. */
    public Optional<Duration> commandsUnconfirmedSince = Optional.empty();

    public Duration nextCallAt = Duration.ZERO;
    public Duration lastRedirectAt = Duration.ZERO;
    public long redirectRevision = -1;
    public int redirects;
    public boolean inspectionInFlight;
    /** When this worker was last sent away because this controller was cut off. */
    public Optional<Duration> turnedAwayAt = Optional.empty();
    /** What became of allocations here, not stored yet; since when. */
    public List<TaskTermination> terminations = List.of();

    public Duration terminationsSince = Duration.ZERO;
    final LinkedHashMap<String, Boolean> images = new LinkedHashMap<>();
    /** Starts sent under {@link #startsToken} in {@link #startsSession}: late copies of them are void only under a higher one. */
    public final Set<WorkerCommand.Run> starts = new HashSet<>();

    public long startsToken;
    long startsSession;
    /** For the heartbeat to the leader: what was told last, and its number. */
    public String lastPublished = "";

    public long lastPublishedSequence;

    /** Takes a report that came by itself; late copies change nothing, and the first of all may be one: it proves no life. */
    public boolean acceptHeartbeat(WorkerHeartbeat heartbeat, Duration now) {
        boolean first = lastHeartbeat.isEmpty();
        boolean newer = accept(heartbeat, now);
        if (newer && !first) {
            lastHeartbeatAt = Optional.of(now);
        }
        return newer;
    }

    /** Takes what a worker says unless something newer is known. */
    private boolean accept(WorkerHeartbeat heartbeat, Duration now) {
        if (lastHeartbeat.isPresent()) {
            if (!heartbeat.newerThan(lastHeartbeat.get())) {
                return false;
            }
            if (heartbeat.agentEpoch() > lastHeartbeat.get().agentEpoch()) {
                // Its lease ran out although it is up: it may be that our answers do not arrive.
                commandsUnconfirmedSince = Optional.of(commandsUnconfirmedSince.orElse(now));
            }
        }
        seenAt = now;
        lastHeartbeat = Optional.of(heartbeat);
        return true;
    }

    /** Takes a worker's answer to a question or command. */
    public void answered(WorkerHeartbeat heartbeat, Duration now) {
        accept(heartbeat, now);
        if (lastHeartbeatAt.isEmpty() || heartbeat.token() > answeredUnder) {
            lastHeartbeatAt = Optional.of(now);
            answeredUnder = heartbeat.token();
        }
        lastAnswerAt = Optional.of(now);
        commandsUnconfirmedSince = Optional.empty();
    }

    /** The last sign of life of any kind. */
    public Optional<Duration> lastSeenAlive() {
        return Durations.later(lastHeartbeatAt, lastAnswerAt);
    }

    public void unanswered(Duration now) {
        commandsUnconfirmedSince = Optional.of(commandsUnconfirmedSince.orElse(now));
    }

    public void fetched(String image) {
        images.remove(image);
        images.put(image, true); // now the latest
        if (images.size() > REMEMBERED_IMAGES) {
            images.remove(images.keySet().iterator().next());
        }
    }

    public Set<String> images() {
        return images.keySet();
    }

    /** Whether the last report can prove something: under this token, with no unanswered start. */
    public boolean isProofUnder(long token) {
        return !callInFlight
                && unansweredStartToken.isEmpty()
                && lastHeartbeat.isPresent()
                && lastHeartbeat.get().token() == token;
    }

    /** Notes starts about to be sent. */
    public void starting(long token, long session, List<WorkerCommand> commands) {
        if (token != startsToken || session != startsSession) {
            starts.clear();
            startsToken = token;
            startsSession = session;
        }
        commands.forEach(o -> {
            if (o instanceof WorkerCommand.Run run) {
                starts.add(run);
            }
        });
    }

    /** Whether a late copy of this attempt's start could still be carried out: then the worker must not forget it. */
    public boolean mayStartAgain(WorkerCommand.Forget f, long token) {
        return token == startsToken && starts.contains(new WorkerCommand.Run(f.task(), f.attempt()));
    }
}
