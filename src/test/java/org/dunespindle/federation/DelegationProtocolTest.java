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
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final int STEPS = 400;
    private static final int MAX_TRANSFERS = 4;

    private sealed interface Message {
        record Offer(long number) implements Message {}

        record Recall(long number) implements Message {}

        record Ask(long number) implements Message {}

        record Told(long number, InboundJobState state, OutboundDelegation.Phase askedIn) implements Message {}
    }

    /** The specification of the remote cell: one record for the job, replaced only by that of a higher transfer. */
    private static final class Receiver {
        long number;
        InboundJobState state = InboundJobState.UNKNOWN;

        InboundJobState told(long asked) {
            return asked == number ? state : asked < number ? InboundJobState.CLOSED : InboundJobState.UNKNOWN;
        }

        InboundJobState offer(long offered, boolean room) {
            boolean free = state == InboundJobState.UNKNOWN || state == InboundJobState.WITHDRAWN;
            if (offered > number && free) {
                number = offered;
                state = room ? InboundJobState.QUEUED : InboundJobState.WITHDRAWN;
            }
            return told(offered);
        }

        InboundJobState recall(long recalled) {
            if (recalled > number || (recalled == number && state == InboundJobState.QUEUED)) {
                number = recalled;
                state = InboundJobState.WITHDRAWN;
            }
            return told(recalled);
        }
    }

    /** A model of the origin and the remote cell; its fields are their stored state. */
    private static final class World {
        final Random random;
        final Receiver receiver = new Receiver();
        final List<Message> network = new ArrayList<>();
        Optional<OutboundDelegation> home = Optional.empty();
        InboundJobState told = InboundJobState.UNKNOWN;
        long toldOf;
        long numbers;
        boolean placedAtHome;
        boolean overAtHome;
        int runs;

        World(long seed) {
            random = new Random(seed);
        }

        void step() {
            switch (random.nextInt(6)) {
                case 0 -> give();
                case 1 -> drive();
                case 2, 3 -> deliver();
                case 4 -> work();
                default -> placeAtHome();
            }
        }

        private boolean away() {
            return home.filter(OutboundDelegation::outstanding).isPresent();
        }

        private void give() {
            boolean may = home.map(OutboundDelegation::transfers).orElse(0) < MAX_TRANSFERS;
            if (!placedAtHome && !overAtHome && !away() && may) {
                home = Optional.of(OutboundDelegation.offer(home, "b", ++numbers));
            }
        }

        private void placeAtHome() {
            if (!away() && !overAtHome && !placedAtHome && random.nextInt(6) == 0) {
                placedAtHome = true;
                runs++;
                assertNotEquals(InboundJobState.QUEUED, receiver.state, "placed in both cells");
                assertNotEquals(InboundJobState.BEGUN, receiver.state, "placed in both cells");
            }
        }

        private void drive() {
            if (!away() || overAtHome) {
                return;
            }
            OutboundDelegation now = home.orElseThrow();
            Optional<InboundJobState> heard =
                    toldOf == now.transfer() && told != InboundJobState.UNKNOWN ? Optional.of(told) : Optional.empty();
            Duration waited = random.nextInt(4) == 0 ? PATIENCE.multipliedBy(2) : Duration.ZERO;
            var view = new DelegationRules.View(now, heard, waited, PATIENCE, Instant.EPOCH);
            DelegationRules.Step step = DelegationRules.next(view);
            if (step instanceof DelegationRules.Step.SendOffer) {
                network.add(new Message.Offer(now.transfer()));
            } else if (step instanceof DelegationRules.Step.SendRecall) {
                network.add(new Message.Recall(now.transfer()));
            } else if (step instanceof DelegationRules.Step.Poll) {
                network.add(new Message.Ask(now.transfer()));
            } else if (step instanceof DelegationRules.Step.Store store) {
                home = Optional.of(store.delegation());
            } else if (step instanceof DelegationRules.Step.StoreDone) {
                assertEquals(InboundJobState.DONE, receiver.state);
                overAtHome = true;
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
            OutboundDelegation.Phase phase = home.map(OutboundDelegation::phase).orElse(OutboundDelegation.Phase.HOME);
            if (message instanceof Message.Offer offer) {
                InboundJobState state = receiver.offer(offer.number, random.nextInt(3) > 0);
                network.add(new Message.Told(offer.number, state, phase));
            } else if (message instanceof Message.Recall recall) {
                network.add(new Message.Told(recall.number, receiver.recall(recall.number), phase));
            } else if (message instanceof Message.Ask ask) {
                network.add(new Message.Told(ask.number, receiver.told(ask.number), phase));
            } else if (message instanceof Message.Told answer && home.isPresent()) {
                hear(answer);
            }
        }

        private void hear(Message.Told answer) {
            if (answer.number != home.orElseThrow().transfer() || answer.state == InboundJobState.UNKNOWN) {
                return;
            }
            boolean later = toldOf != answer.number || answer.state.compareTo(told) > 0;
            if (later) {
                toldOf = answer.number;
                told = answer.state;
            }
        }

        private void work() {
            if (receiver.state == InboundJobState.QUEUED && random.nextInt(3) == 0) {
                assertFalse(placedAtHome, "placed in both cells");
                receiver.state = InboundJobState.BEGUN;
                runs++;
            } else if (receiver.state == InboundJobState.BEGUN && random.nextInt(3) == 0) {
                receiver.state = InboundJobState.DONE;
            }
        }
    }

    @Property(seed = "21", tries = 3000)
    void aJobRunsInOneCellAtMostWhateverArrives(@ForAll long seed) {
        var world = new World(seed);
        for (int step = 0; step < STEPS; step++) {
            world.step();
            assertTrue(world.runs <= 1, "ran in both cells");
            assertTrue(world.home.map(OutboundDelegation::transfers).orElse(0) <= MAX_TRANSFERS);
        }
    }

    @Test
    void theStateMachineReachesEveryEnd() {
        int home = 0;
        int elsewhere = 0;
        int back = 0;
        for (long seed = 0; seed < 400; seed++) {
            var world = new World(seed);
            for (int step = 0; step < STEPS; step++) {
                world.step();
            }
            home += world.placedAtHome ? 1 : 0;
            elsewhere += world.overAtHome ? 1 : 0;
            back += world.home.filter(d -> d.transfers() > 1).isPresent() ? 1 : 0;
        }
        assertTrue(home > 40 && elsewhere > 40 && back > 20, home + " " + elsewhere + " " + back);
    }

    @Property(seed = "22", tries = 500)
    void phasesChangeOnlyAsStated(@ForAll long seed) {
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
    void aTransferNumberIsNeverUsedAgain() {
        OutboundDelegation back =
                OutboundDelegation.offer(Optional.empty(), "b", 5).returned(Instant.EPOCH);
        assertThrows(IllegalStateException.class, () -> OutboundDelegation.offer(Optional.of(back), "c", 5));
    }

    private static DelegationRules.Step next(
            OutboundDelegation delegation, Optional<InboundJobState> told, Duration waited) {
        return DelegationRules.next(
                new DelegationRules.View(delegation, told, waited, PATIENCE, Instant.EPOCH.plusSeconds(9)));
    }

    @Test
    void silenceNeverBringsAJobHome() {
        OutboundDelegation offered = OutboundDelegation.offer(Optional.empty(), "b", 1);
        for (OutboundDelegation delegation : List.of(offered, offered.accepted(), offered.recalled())) {
            for (Duration waited : List.of(Duration.ZERO, PATIENCE.plusMillis(1), Duration.ofDays(30))) {
                DelegationRules.Step step = next(delegation, Optional.empty(), waited);
                boolean home = step instanceof DelegationRules.Step.Store store
                        && !store.delegation().outstanding();
                assertFalse(home, delegation + " after " + waited);
            }
        }
    }

    @Test
    void whatCannotBeIsNotGuessedAt() {
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
    void aJobThatBeganElsewhereStaysThereHoweverLongItWaits() {
        OutboundDelegation accepted =
                OutboundDelegation.offer(Optional.empty(), "b", 1).accepted();
        assertEquals(
                new DelegationRules.Step.Poll(),
                next(accepted, Optional.of(InboundJobState.BEGUN), PATIENCE.multipliedBy(9)));
        assertEquals(
                new DelegationRules.Step.Store(accepted),
                next(accepted.recalled(), Optional.of(InboundJobState.BEGUN), Duration.ZERO));
    }

    @Test
    void reportsThatArriveOutOfOrderChangeNothing() {
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
