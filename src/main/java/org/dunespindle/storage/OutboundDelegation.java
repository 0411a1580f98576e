package org.dunespindle.storage;

import java.time.Instant;
import java.util.Optional;

/**
 * The link of a job to the remote cell that it was delegated to, as stored by its origin. The phase changes only by the methods
 * of this record, which throw an {@link IllegalStateException} if the current phase does not permit the transition.
 *
 * @param cell the remote cell of the latest transfer
 * @param transfer the number of the latest transfer, which serves as its fencing token
 * @param transfers the number of times that the job has been delegated
 * @param notBefore the earliest time of the next delegation, after the job was returned
 */
public record OutboundDelegation(String cell, long transfer, Phase phase, int transfers, Optional<Instant> notBefore)
        implements DelegationLink {

    /** The phases of a transfer. In all phases except {@link #HOME} the remote cell may hold the job. */
    public enum Phase {
        /** The job is held by its origin: the transfer has provably ended without any task placed by the remote cell. */
        HOME,
        /** The offer may have been sent any number of times; it is unknown whether it was accepted. */
        OFFERED,
        /** The remote cell has stored the job. */
        ACCEPTED,
        /** The origin recalls the job; it is unknown whether the remote cell returns it. */
        RECALLED
    }

    /** Whether the remote cell may hold the job. */
    public boolean outstanding() {
        return phase != Phase.HOME;
    }

    /** The link for a new offer, which is stored before the offer is sent. */
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

    /** The transition after the remote cell confirmed that it stored the job. A recall remains in effect. */
    public OutboundDelegation accepted() {
        return switch (phase) {
            case OFFERED -> withPhase(Phase.ACCEPTED);
            case ACCEPTED, RECALLED -> this;
            case HOME -> throw illegalTransition("accepted");
        };
    }

    /** The transition when the origin recalls the job. */
    public OutboundDelegation recalled() {
        if (!outstanding()) {
            throw illegalTransition("recalled");
        }
        return withPhase(Phase.RECALLED);
    }

    /** The transition after the remote cell answered a recall that it keeps the job, since it has placed tasks of it. */
    public OutboundDelegation keptByRemote() {
        require(Phase.RECALLED, "kept");
        return withPhase(Phase.ACCEPTED);
    }

    /** The transition after the remote cell confirmed that it ended this transfer without having placed any task. */
    public OutboundDelegation returned(Instant retryAt) {
        if (!outstanding()) {
            throw illegalTransition("returned");
        }
        return new OutboundDelegation(cell, transfer, Phase.HOME, transfers, Optional.of(retryAt));
    }

    private OutboundDelegation withPhase(Phase next) {
        return new OutboundDelegation(cell, transfer, next, transfers, notBefore);
    }

    private void require(Phase required, String transition) {
        if (phase != required) {
            throw illegalTransition(transition);
        }
    }

    private IllegalStateException illegalTransition(String transition) {
        return new IllegalStateException("a transfer that is " + phase + " cannot be " + transition);
    }
}
