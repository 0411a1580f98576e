package org.dunespindle.federation;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dunespindle.storage.OutboundDelegation;

/**
 * What a job's own cell does next about a transfer, by what the other cell told of it. Pure. A job comes home only by an answer that
 * tells that the transfer has ended; silence and clocks lead to nothing but further questions.
 */
public final class DelegationRules {
    private DelegationRules() {}

    /**
     * What is known of a transfer.
     *
     * @param told what the other cell told of this very transfer last, if anything
     * @param waited how long it has been in its phase, or has waited in the other cell without a task, as seen from here
     * @param patience how long that may take before the job is wanted back
     * @param again when the job may be given away again, should it come home now
     */
    public record View(
            OutboundDelegation delegation,
            Optional<InboundJobState> told,
            Duration waited,
            Duration patience,
            Instant again) {
        private boolean overdue() {
            return waited.compareTo(patience) > 0;
        }
    }

    /** What to do next. */
    public sealed interface Step {
        /** Sends the offer, for the first time or again. */
        record SendOffer() implements Step {}

        /** Asks for the job to be given back. */
        record SendRecall() implements Step {}

        /** Asks how the job stands. */
        record Ask() implements Step {}

        /** Stores the transfer's new phase. */
        record Store(OutboundDelegation delegation) implements Step {}

        /** Stores that the job is done. */
        record StoreDone() implements Step {}

        /** Stores that the job is cancelled, as its user wished. */
        record StoreCancelled() implements Step {}

        /** What the other cell tells cannot be; nothing is concluded until an operator has looked. */
        record Contradiction(String what) implements Step {}
    }

    /** Decides the next step of an outstanding transfer. */
    public static Step next(View view) {
        InboundJobState told = view.told.orElse(InboundJobState.UNKNOWN);
        return switch (told) {
            case DONE -> new Step.StoreDone();
            case CANCELLED -> new Step.StoreCancelled();
            case WITHDRAWN -> new Step.Store(view.delegation.returned(view.again));
            case CLOSED -> new Step.Contradiction("it counts a transfer as ended that is open here");
            default ->
                switch (view.delegation.phase()) {
                    case OFFERED -> offered(view, told);
                    case ACCEPTED -> accepted(view, told);
                    case RECALLED -> recalled(view, told);
                    case HOME -> throw new IllegalArgumentException("the job is at home");
                };
        };
    }

    private static Step offered(View view, InboundJobState told) {
        if (told != InboundJobState.UNKNOWN) {
            return new Step.Store(view.delegation.accepted());
        }
        return view.overdue() ? new Step.Store(view.delegation.recalled()) : new Step.SendOffer();
    }

    private static Step accepted(View view, InboundJobState told) {
        if (told == InboundJobState.UNKNOWN && view.told.isPresent()) {
            return new Step.Contradiction("it does not know a job that it had accepted");
        }
        boolean waits = told == InboundJobState.QUEUED;
        return waits && view.overdue() ? new Step.Store(view.delegation.recalled()) : new Step.Ask();
    }

    private static Step recalled(View view, InboundJobState told) {
        return told == InboundJobState.BEGUN ? new Step.Store(view.delegation.keptByRemote()) : new Step.SendRecall();
    }
}
