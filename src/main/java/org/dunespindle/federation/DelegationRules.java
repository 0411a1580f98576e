package org.dunespindle.federation;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dunespindle.storage.OutboundDelegation;

/**
 * Decides the origin's next step for a transfer from the state that the remote cell reported. A pure function. A job returns to its
 * origin only after the remote cell has confirmed that the transfer ended; missing replies and elapsed time only cause further requests.
 */
public final class DelegationRules {
    private DelegationRules() {}

    /**
     * The known state of a transfer.
     *
     * @param remoteState the state of exactly this transfer that the remote cell reported last; empty if it reported none
     * @param elapsed the time since this controller first saw the transfer in its present phase
     * @param timeout the time limit for a phase without progress, after which the job is recalled
     * @param retryAt when the job may be delegated again, should it return now
     */
    public record View(
            OutboundDelegation delegation,
            Optional<InboundJobState> remoteState,
            Duration elapsed,
            Duration timeout,
            Instant retryAt) {
        private boolean timedOut() {
            return elapsed.compareTo(timeout) > 0;
        }
    }

    /** The next step for a transfer. */
    public sealed interface Step {
        /** Sends or resends the offer. */
        record SendOffer() implements Step {}

        /** Sends or resends the recall. */
        record SendRecall() implements Step {}

        /** Requests the job's status. */
        record Poll() implements Step {}

        /** Stores the transfer's new phase. */
        record Store(OutboundDelegation delegation) implements Step {}

        /** Stores that the job is done. */
        record StoreDone() implements Step {}

        /** Stores that the job is cancelled, as its user requested. */
        record StoreCancelled() implements Step {}

        /** The remote cell's report contradicts the stored state; the transfer stays as it is until an operator resolves it. */
        record Contradiction(String description) implements Step {}
    }

    /** Decides the next step of an outstanding transfer. */
    public static Step next(View view) {
        InboundJobState remoteState = view.remoteState.orElse(InboundJobState.UNKNOWN);
        return switch (remoteState) {
            case DONE -> new Step.StoreDone();
            case CANCELLED -> new Step.StoreCancelled();
            case WITHDRAWN -> new Step.Store(view.delegation.returned(view.retryAt));
            case CLOSED -> new Step.Contradiction("it counts a transfer as ended that is open here");
            default ->
                switch (view.delegation.phase()) {
                    case OFFERED -> afterOffer(view, remoteState);
                    case ACCEPTED -> afterAcceptance(view, remoteState);
                    case RECALLED -> afterRecall(view, remoteState);
                    case HOME -> throw new IllegalArgumentException("the job has no outstanding transfer");
                };
        };
    }

    private static Step afterOffer(View view, InboundJobState remoteState) {
        if (remoteState != InboundJobState.UNKNOWN) {
            return new Step.Store(view.delegation.accepted());
        }
        return view.timedOut() ? new Step.Store(view.delegation.recalled()) : new Step.SendOffer();
    }

    private static Step afterAcceptance(View view, InboundJobState remoteState) {
        if (remoteState == InboundJobState.UNKNOWN && view.remoteState.isPresent()) {
            return new Step.Contradiction("it does not know a job that it had accepted");
        }
        boolean queued = remoteState == InboundJobState.QUEUED;
        return queued && view.timedOut() ? new Step.Store(view.delegation.recalled()) : new Step.Poll();
    }

    private static Step afterRecall(View view, InboundJobState remoteState) {
        return remoteState == InboundJobState.BEGUN
                ? new Step.Store(view.delegation.keptByRemote())
                : new Step.SendRecall();
    }
}
