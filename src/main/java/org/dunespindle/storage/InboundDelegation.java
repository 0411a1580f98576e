package org.dunespindle.storage;

/**
 * The link of a job that was accepted from another cell, its origin.
 *
 * @param origin the origin, which accepted the job from its user
 * @param transfer the number of the delegation: a fencing token, higher with every delegation by the origin
 * @param withdrawn whether the origin withdrew the job, or was refused, before any task was placed
 */
public record InboundDelegation(String origin, long transfer, boolean withdrawn) implements DelegationLink {
    /** A delegation in progress. */
    public static InboundDelegation of(String home, long transfer) {
        return new InboundDelegation(home, transfer, false);
    }

    /** The same delegation, ended without any task having been placed. */
    InboundDelegation withdraw() {
        return new InboundDelegation(origin, transfer, true);
    }
}
