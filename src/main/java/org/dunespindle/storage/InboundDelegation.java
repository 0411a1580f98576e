package org.dunespindle.storage;

/**
 * The link of a job that this cell accepted from another cell, its origin.
 *
 * @param origin the cell that accepted the job from its user
 * @param transfer the number of the delegation, a fencing token that increases with every delegation by the origin
 * @param withdrawn whether the delegation ended, by a withdrawal or a declined offer, before any task was placed
 */
public record InboundDelegation(String origin, long transfer, boolean withdrawn) implements DelegationLink {
    /** The link of a delegation in progress. */
    public static InboundDelegation of(String origin, long transfer) {
        return new InboundDelegation(origin, transfer, false);
    }

    /** The link of the same delegation, ended before any task was placed. */
    InboundDelegation withdraw() {
        return new InboundDelegation(origin, transfer, true);
    }
}
