package org.dunespindle.storage;

/**
 * The tie of a job that was taken in from another cell.
 *
 * @param home the cell that accepted the job from its user
 * @param transfer the number under which it was given away: a fencing token, higher with every transfer of that cell
 * @param withdrawn whether the home took the job back, or was refused, before any task was booked
 */
public record InboundDelegation(String home, long transfer, boolean withdrawn) implements DelegationLink {
    /** A visit that goes on. */
    public static InboundDelegation of(String home, long transfer) {
        return new InboundDelegation(home, transfer, false);
    }

    /** The same visit, ended without any task having been booked. */
    public InboundDelegation withdraw() {
        return new InboundDelegation(home, transfer, true);
    }
}
