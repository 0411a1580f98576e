package org.dunespindle.federation;

import java.time.Instant;
import java.util.List;
import org.dunespindle.protocol.Submission;

/** What one cell asks of another. Every request may arrive late, twice, or after newer ones. */
public sealed interface CellRequest {
    /** Who asks. */
    CellId from();

    /** Asks who is there and how much room it has, and tells which transfers have ended for good. */
    record Hello(CellId from, long floor) implements CellRequest {}

    /** Offers a job. Only taken by the very incarnation that it is meant for. */
    record Offer(CellId from, CellId to, Transfer transfer, Instant arrived, Submission job) implements CellRequest {}

    /** Wants a job back, if none of its tasks was ever booked. */
    record Recall(CellId from, String toIdentity, Transfer transfer) implements CellRequest {}

    /** Wants a job cancelled. */
    record Cancel(CellId from, String toIdentity, Transfer transfer) implements CellRequest {}

    /** Asks how jobs stand. */
    record Progress(CellId from, String toIdentity, List<Transfer> transfers) implements CellRequest {}
}
