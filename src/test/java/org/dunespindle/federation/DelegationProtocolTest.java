package org.dunespindle.federation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.storage.OutboundDelegation;
import org.junit.jupiter.api.Test;

/**
 * Model test of the delegation protocol for one job: the origin uses {@link DelegationRules}, the remote cell is modelled by its
 * specification, and messages between them are reordered, duplicated and lost. Guards against a job that runs in both cells.
 */
class DelegationProtocolTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int STEPS = 400;
    private static final int MAX_TRANSFERS = 4;

    private sealed interface Message {
        record Offer(long number) implements Message {}

        record Recall(long number) implements Message {}

        record Poll(long number) implements Message {}

        record Report(long number, InboundJobState state, OutboundDelegation.Phase requestPhase) implements Message {}
    }

    /** The specification of the remote cell: one record for the job, replaced only by that of a higher transfer. */
    private static final class RemoteCellModel {
        long number;
        InboundJobState state = InboundJobState.UNKNOWN;

        InboundJobState reportFor(long polled) {
            return polled == number ? state : polled < number ? InboundJobState.CLOSED : InboundJobState.UNKNOWN;
        }

        InboundJobState offer(long offered, boolean accepts) {
            boolean replaceable = state == InboundJobState.UNKNOWN || state == InboundJobState.WITHDRAWN;
            if (offered > number && replaceable) {
                number = offered;
                state = accepts ? InboundJobState.QUEUED : InboundJobState.WITHDRAWN;
            }
            return reportFor(offered);
        }

        InboundJobState recall(long recalled) {
            if (recalled > number || (recalled == number && state == InboundJobState.QUEUED)) {
                number = recalled;
                state = InboundJobState.WITHDRAWN;
            }
            return reportFor(recalled);
        }
    }

    /** A model of the origin and the remote cell; its fields are their stored state. */
    private static final class Model {
        final Random random;
        final RemoteCellModel remote = new RemoteCellModel();
        final List<Message> network = new ArrayList<>();
        Optional<OutboundDelegation> delegation = Optional.empty();
        InboundJobState reported = InboundJobState.UNKNOWN;
        long reportedTransfer;
        long lastNumber;
        boolean placedAtOrigin;
        boolean endedAtOrigin;
        int runs;

        Model(long seed) {
            random = new Random(seed);
        }

        void step() {
            switch (random.nextInt(6)) {
                case 0 -> offerJob();
                case 1 -> takeStep();
                case 2, 3 -> deliver();
                case 4 -> runRemotely();
                default -> placeAtOrigin();
            }
        }

        private boolean isDelegated() {
            return delegation.filter(OutboundDelegation::outstanding).isPresent();
        }

        private void offerJob() {
            boolean permitted = delegation.map(OutboundDelegation::transfers).orElse(0) < MAX_TRANSFERS;
            if (!placedAtOrigin && !endedAtOrigin && !isDelegated() && permitted) {
                delegation = Optional.of(OutboundDelegation.offer(delegation, "b", ++lastNumber));
            }
        }

        private void placeAtOrigin() {
            if (!isDelegated() && !endedAtOrigin && !placedAtOrigin && random.nextInt(6) == 0) {
                placedAtOrigin = true;
                runs++;
                assertNotEquals(InboundJobState.QUEUED, remote.state, "placed in both cells");
                assertNotEquals(InboundJobState.BEGUN, remote.state, "placed in both cells");
            }
        }

        private void takeStep() {
            if (!isDelegated() || endedAtOrigin) {
                return;
            }
            OutboundDelegation now = delegation.orElseThrow();
            Optional<InboundJobState> remoteState =
                    reportedTransfer == now.transfer() && reported != InboundJobState.UNKNOWN
                            ? Optional.of(reported)
                            : Optional.empty();
            Duration elapsed = random.nextInt(4) == 0 ? TIMEOUT.multipliedBy(2) : Duration.ZERO;
            var view = new DelegationRules.View(now, remoteState, elapsed, TIMEOUT, Instant.EPOCH);
            DelegationRules.Step step = DelegationRules.next(view);
            if (step instanceof DelegationRules.Step.SendOffer) {
                network.add(new Message.Offer(now.transfer()));
            } else if (step instanceof DelegationRules.Step.SendRecall) {
                network.add(new Message.Recall(now.transfer()));
            } else if (step instanceof DelegationRules.Step.Poll) {
                network.add(new Message.Poll(now.transfer()));
            } else if (step instanceof DelegationRules.Step.Store store) {
                delegation = Optional.of(store.delegation());
            } else if (step instanceof DelegationRules.Step.StoreDone) {
                assertEquals(InboundJobState.DONE, remote.state);
                endedAtOrigin = true;
            } else {
                throw new AssertionError("unexpected " + step);
            }
        }

        /** Delivers any message sent so far. Two thirds of them stay in the network and may be delivered again. */
        private void deliver() {
            if (network.isEmpty()) {
                return;
            }
            int index = random.nextInt(network.size());
            Message message = random.nextInt(3) == 0 ? network.remove(index) : network.get(index);
            OutboundDelegation.Phase phase =
                    delegation.map(OutboundDelegation::phase).orElse(OutboundDelegation.Phase.HOME);
            if (message instanceof Message.Offer offer) {
                InboundJobState state = remote.offer(offer.number, random.nextInt(3) > 0);
                network.add(new Message.Report(offer.number, state, phase));
            } else if (message instanceof Message.Recall recall) {
                network.add(new Message.Report(recall.number, remote.recall(recall.number), phase));
            } else if (message instanceof Message.Poll poll) {
                network.add(new Message.Report(poll.number, remote.reportFor(poll.number), phase));
            } else if (message instanceof Message.Report report && delegation.isPresent()) {
                receive(report);
            }
        }

        private void receive(Message.Report report) {
            if (report.number != delegation.orElseThrow().transfer() || report.state == InboundJobState.UNKNOWN) {
                return;
            }
            boolean newer = reportedTransfer != report.number || report.state.compareTo(reported) > 0;
            if (newer) {
                reportedTransfer = report.number;
                reported = report.state;
            }
        }

        private void runRemotely() {
            if (remote.state == InboundJobState.QUEUED && random.nextInt(3) == 0) {
                assertFalse(placedAtOrigin, "placed in both cells");
                remote.state = InboundJobState.BEGUN;
                runs++;
            } else if (remote.state == InboundJobState.BEGUN && random.nextInt(3) == 0) {
                remote.state = InboundJobState.DONE;
            }
        }
    }

    @Property(seed = "21", tries = 3000)
    void aJobRunsInAtMostOneCellForAnySequenceOfMessages(@ForAll long seed) {
        var model = new Model(seed);
        for (int step = 0; step < STEPS; step++) {
            model.step();
            assertTrue(model.runs <= 1, "ran in both cells");
            assertTrue(model.delegation.map(OutboundDelegation::transfers).orElse(0) <= MAX_TRANSFERS);
        }
    }

    @Test
    void randomRunsReachEveryOutcome() {
        int placedAtOrigin = 0;
        int endedRemotely = 0;
        int redelegated = 0;
        for (long seed = 0; seed < 400; seed++) {
            var model = new Model(seed);
            for (int step = 0; step < STEPS; step++) {
                model.step();
            }
            placedAtOrigin += model.placedAtOrigin ? 1 : 0;
            endedRemotely += model.endedAtOrigin ? 1 : 0;
            redelegated += model.delegation.filter(d -> d.transfers() > 1).isPresent() ? 1 : 0;
        }
        assertTrue(
                placedAtOrigin > 40 && endedRemotely > 40 && redelegated > 20,
                placedAtOrigin + " " + endedRemotely + " " + redelegated);
    }

    @Property(seed = "22", tries = 500)
    void onlySpecifiedPhaseTransitionsArePermitted(@ForAll long seed) {
        var random = new Random(seed);
        OutboundDelegation delegation = OutboundDelegation.offer(Optional.empty(), "b", 1);
        for (int step = 0; step < 30; step++) {
            OutboundDelegation before = delegation;
            int change = random.nextInt(5);
            try {
                delegation = switch (change) {
                    case 0 -> before.accepted();
                    case 1 -> before.recalled();
                    case 2 -> before.keptByRemote();
                    case 3 -> before.returned(Instant.EPOCH);
                    default -> OutboundDelegation.offer(Optional.of(before), "c", before.transfer() + 1);
                };
                assertTrue(allowed(change).contains(before.phase()), change + " from " + before.phase());
            } catch (IllegalStateException refused) {
                assertFalse(allowed(change).contains(before.phase()), change + " from " + before.phase());
            }
            assertEquals(delegation.phase() != OutboundDelegation.Phase.HOME, delegation.outstanding());
            assertTrue(delegation.transfer() >= before.transfer());
        }
    }

    private static EnumSet<OutboundDelegation.Phase> allowed(int change) {
        EnumSet<OutboundDelegation.Phase> outstanding = EnumSet.of(
                OutboundDelegation.Phase.OFFERED, OutboundDelegation.Phase.ACCEPTED, OutboundDelegation.Phase.RECALLED);
        return switch (change) {
            case 2 -> EnumSet.of(OutboundDelegation.Phase.RECALLED);
            case 4 -> EnumSet.of(OutboundDelegation.Phase.HOME);
            default -> outstanding;
        };
    }

    @Test
    void aTransferNumberCannotBeReused() {
        OutboundDelegation back =
                OutboundDelegation.offer(Optional.empty(), "b", 5).returned(Instant.EPOCH);
        assertThrows(IllegalStateException.class, () -> OutboundDelegation.offer(Optional.of(back), "c", 5));
    }

    private static DelegationRules.Step next(
            OutboundDelegation delegation, Optional<InboundJobState> reported, Duration elapsed) {
        return DelegationRules.next(
                new DelegationRules.View(delegation, reported, elapsed, TIMEOUT, Instant.EPOCH.plusSeconds(9)));
    }

    @Test
    void missingRepliesNeverReturnAJob() {
        OutboundDelegation offered = OutboundDelegation.offer(Optional.empty(), "b", 1);
        for (OutboundDelegation delegation : List.of(offered, offered.accepted(), offered.recalled())) {
            for (Duration elapsed : List.of(Duration.ZERO, TIMEOUT.plusMillis(1), Duration.ofDays(30))) {
                DelegationRules.Step step = next(delegation, Optional.empty(), elapsed);
                boolean returned = step instanceof DelegationRules.Step.Store store
                        && !store.delegation().outstanding();
                assertFalse(returned, delegation + " after " + elapsed);
            }
        }
    }

    @Test
    void contradictoryReportsLeaveTheTransferUnchanged() {
        OutboundDelegation accepted =
                OutboundDelegation.offer(Optional.empty(), "b", 1).accepted();
        assertTrue(
                next(accepted, Optional.of(InboundJobState.UNKNOWN), Duration.ZERO)
                        instanceof DelegationRules.Step.Contradiction);
        assertTrue(
                next(accepted, Optional.of(InboundJobState.CLOSED), Duration.ZERO)
                        instanceof DelegationRules.Step.Contradiction);
    }

    @Test
    void aJobWithPlacedTasksStaysInTheRemoteCell() {
        OutboundDelegation accepted =
                OutboundDelegation.offer(Optional.empty(), "b", 1).accepted();
        assertEquals(
                new DelegationRules.Step.Poll(),
                next(accepted, Optional.of(InboundJobState.BEGUN), TIMEOUT.multipliedBy(9)));
        assertEquals(
                new DelegationRules.Step.Store(accepted),
                next(accepted.recalled(), Optional.of(InboundJobState.BEGUN), Duration.ZERO));
    }

    @Test
    void reportsOutOfOrderDoNotReplaceLaterStates() {
        var reports = new RemoteJobStates();
        var transfer = new Transfer("wk-000001", 7);
        var job = org.dunespindle.storage.JobRecord.accepted(TestJobs.array("wk-000001", 2), Instant.EPOCH)
                .withDelegationLink(
                        OutboundDelegation.offer(Optional.empty(), "b", 7).accepted());
        reports.record(
                InboundJobStatus.of(transfer, InboundJobState.UNKNOWN),
                OutboundDelegation.Phase.OFFERED,
                Duration.ofSeconds(9));
        assertTrue(reports.of(job).isEmpty(), "the offer may not have arrived yet");
        reports.record(
                InboundJobStatus.of(transfer, InboundJobState.BEGUN),
                OutboundDelegation.Phase.ACCEPTED,
                Duration.ofSeconds(5));
        reports.record(
                InboundJobStatus.of(transfer, InboundJobState.QUEUED),
                OutboundDelegation.Phase.ACCEPTED,
                Duration.ofSeconds(3));
        assertEquals(
                InboundJobState.BEGUN, reports.of(job).orElseThrow().report().state());
        reports.record(
                InboundJobStatus.of(transfer, InboundJobState.DONE),
                OutboundDelegation.Phase.ACCEPTED,
                Duration.ofSeconds(4));
        reports.record(
                InboundJobStatus.of(transfer, InboundJobState.BEGUN),
                OutboundDelegation.Phase.ACCEPTED,
                Duration.ofSeconds(8));
        assertEquals(
                InboundJobState.DONE, reports.of(job).orElseThrow().report().state());
        reports.record(
                InboundJobStatus.of(new Transfer("wk-000001", 6), InboundJobState.WITHDRAWN),
                OutboundDelegation.Phase.ACCEPTED,
                Duration.ofSeconds(9));
        assertEquals(
                InboundJobState.DONE, reports.of(job).orElseThrow().report().state());
    }
}
