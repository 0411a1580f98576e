package org.dunespindle.storage;

import java.time.Instant;
import java.util.Optional;

/**
 * The tie of a job to the cell that it was given to, as its own cell keeps it. The phases change by the methods here alone;
 * a change that the present phase does not allow is an {@link IllegalStateException}.
 *
 * @param cell the cell that the latest transfer went to
 * @param transfer the number of the latest transfer, which serves as its fencing token
 * @param transfers how often the job has been given away so far
 * @param notBefore when it may be given away again, after it came back
 */
public record OutboundDelegation(String cell, long transfer, Phase phase, int transfers, Optional<Instant> notBefore)
        implements DelegationLink {

    /** Where a transfer stands. In all phases but the first the other cell may hold the job. */
    public enum Phase {
        /** The job is at home: the transfer is proven to have ended without any task having been booked. */
        HOME,
        /** The offer may have been sent any number of times; whether it was accepted is not known. */
        OFFERED,
        /** The other cell has stored the job. */
        ACCEPTED,
        /** The job is wanted back; whether the other cell gives it back is not known. */
        RECALLED
    }

    /** Whether the other cell may hold the job. */
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

    /** The other cell told that it has stored the job; one that is wanted back stays so. */
    public OutboundDelegation accepted() {
        return switch (phase) {
            case OFFERED -> in(Phase.ACCEPTED);
            case ACCEPTED, RECALLED -> this;
            case HOME -> throw refused("accepted");
        };
    }

    /** The job is wanted back. */
    public OutboundDelegation recalled() {
        if (!outstanding()) {
            throw refused("recalled");
        }
        return in(Phase.RECALLED);
    }

    /** The other cell has begun with the job and keeps it. */
    public OutboundDelegation kept() {
        require(Phase.RECALLED, "kept");
        return in(Phase.ACCEPTED);
    }

    /** The other cell told that this transfer has ended there, and that no task was ever booked under it. */
    public OutboundDelegation returned(Instant again) {
        if (!outstanding()) {
            throw refused("returned");
        }
        return new OutboundDelegation(cell, transfer, Phase.HOME, transfers, Optional.of(again));
    }

    private OutboundDelegation in(Phase next) {
        return new OutboundDelegation(cell, transfer, next, transfers, notBefore);
    }

    private void require(Phase wanted, String change) {
        if (phase != wanted) {
            throw refused(change);
        }
    }

    private IllegalStateException refused(String change) {
        return new IllegalStateException("a transfer that is " + phase + " cannot be " + change);
    }
}
