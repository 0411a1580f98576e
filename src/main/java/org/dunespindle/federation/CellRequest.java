package org.dunespindle.federation;

import java.time.Instant;
import java.util.List;
import org.dunespindle.protocol.Submission;

/** A request from one cell to another. Requests may be delayed, duplicated or reordered. */
public sealed interface CellRequest {
    /** The requesting cell. */
    CellId from();

    /**
     * Requests the cell's identity and capacity hints.
     *
     * @param lowestOpenTransfer the requester's lowest open transfer: all of its transfers with lower numbers have ended
     */
    record Hello(CellId from, long lowestOpenTransfer) implements CellRequest {}

    /** Offers a job. Only the incarnation that the offer is addressed to may accept it. */
    record Offer(CellId from, CellId to, Transfer transfer, Instant arrived, Submission job) implements CellRequest {}

    /** Recalls a job, which takes effect only if none of its tasks was ever placed. */
    record Recall(CellId from, String toIdentity, Transfer transfer) implements CellRequest {}

    /** Cancels a job. */
    record Cancel(CellId from, String toIdentity, Transfer transfer) implements CellRequest {}

    /** Requests the status of transfers. */
    record Progress(CellId from, String toIdentity, List<Transfer> transfers) implements CellRequest {}
}
