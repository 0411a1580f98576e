package org.dunespindle.storage;

import java.time.Instant;
import java.util.Optional;

/**
 * The link of a job to the remote cell that it was delegated to, as its origin stores it. Only the methods here change the
 * phase; a transition that the present phase does not permit is an {@link IllegalStateException}.
 *
 * @param cell the remote cell of the latest transfer
 * @param transfer the number of the latest transfer, which serves as its fencing token
 * @param transfers how often the job has been delegated so far
 * @param notBefore when it may be delegated again, after it was returned
 */
public record OutboundDelegation(String cell, long transfer, Phase phase, int transfers, Optional<Instant> notBefore)
        implements DelegationLink {

    /** The phases of a transfer. In all but the first the remote cell may hold the job. */
    public enum Phase {
        /** The job is at its origin: the transfer is proven to have ended without any task having been placed. */
        HOME,
        /** The offer may have been sent any number of times; whether it was accepted is not known. */
        OFFERED,
        /** The remote cell has stored the job. */
        ACCEPTED,
        /** The origin recalls the job; whether the remote cell returns it is not known. */
        RECALLED
    }

    /** Whether the remote cell may hold the job. */
    public boolean outstanding() {
        return phase != Phase.HOME;
    }

    /** The intent to offer a job, which is stored before the offer is sent. */
    public static OutboundDelegation offer(Optional<OutboundDelegation> before, String cell, long transfer) {
        before.ifPresent(earlier -> {
            earlier.require(Phase.HOME, "offered again");
            if (transfer <= earlier.transfer) {
                throw new IllegalStateException("transfer " + transfer + " is not above " + earlier.transfer);
            }
        });
        int transfers = before.map(OutboundDelegation::transfers).orElse(0) + 1;
        return new OutboundDelegation(cell, transfer, Phase.OFFERED, transfers, Optional.empty());
    }

    /** The remote cell has confirmed that it stored the job; a recall remains in effect. */
    public OutboundDelegation accepted() {
        return switch (phase) {
            case OFFERED -> withPhase(Phase.ACCEPTED);
            case ACCEPTED, RECALLED -> this;
            case HOME -> throw illegalTransition("accepted");
        };
    }

    /** The origin recalls the job. */
    public OutboundDelegation recalled() {
        if (!outstanding()) {
            throw illegalTransition("recalled");
        }
        return withPhase(Phase.RECALLED);
    }

    /** The remote cell has placed tasks of the job and keeps it. */
    public OutboundDelegation keptByRemote() {
        require(Phase.RECALLED, "kept");
        return withPhase(Phase.ACCEPTED);
    }

    /** The remote cell has confirmed that this transfer ended there without any task having been placed. */
    public OutboundDelegation returned(Instant retryAt) {
        if (!outstanding()) {
            throw illegalTransition("returned");
        }
        return new OutboundDelegation(cell, transfer, Phase.HOME, transfers, Optional.of(retryAt));
    }

    private OutboundDelegation withPhase(Phase next) {
        return new OutboundDelegation(cell, transfer, next, transfers, notBefore);
    }

    private void require(Phase required, String change) {
        if (phase != required) {
            throw illegalTransition(change);
        }
    }

    private IllegalStateException illegalTransition(String change) {
        return new IllegalStateException("a transfer that is " + phase + " cannot be " + change);
    }
}
