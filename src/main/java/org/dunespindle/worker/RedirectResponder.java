package org.dunespindle.worker;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.WorkerState;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers heartbeats of workers whose machines another controller owns, by a redirect to the owner. A worker that returns soon could
 * not reach the owner (its zone is partitioned, or the owner crashed): this controller then becomes the owner. Late copies of
 * heartbeats do not count, and the worker is inspected before its machine's token is raised.
 */
final class RedirectResponder {
    private static final Logger LOG = LoggerFactory.getLogger(RedirectResponder.class);
    private static final int MIN_REDIRECTS_FOR_FAILOVER = 2;
    private static final int MIN_REDIRECTS_FOR_FAILOVER_WITHOUT_ANSWER = 4;
    /** How long an acquired machine is kept before it may be released to the controller that its worker could not reach. */
    private static final Duration MIN_OWNERSHIP_TIME = Duration.ofSeconds(40);

    private final ControllerContext context;
    private final MachineRecordWriter machineWriter;
    private final WorkerClient workerClient;
    private final LeaseRenewal leaseRenewal;
    private final Predicate<String> isSuspectedController;

    RedirectResponder(
            ControllerContext context,
            MachineRecordWriter machineWriter,
            WorkerClient workerClient,
            LeaseRenewal leaseRenewal,
            Predicate<String> isSuspectedController) {
        this.context = context;
        this.machineWriter = machineWriter;
        this.workerClient = workerClient;
        this.leaseRenewal = leaseRenewal;
        this.isSuspectedController = isSuspectedController;
    }

    /** Answers a heartbeat, immediately or once an attempt to become the machine's owner has ended. */
    void reply(ReceivedHeartbeat received, MachineRecord machine, Consumer<HeartbeatReply> replyTo) {
        var redirect = new HeartbeatReply.Redirect(redirectTarget(machine));
        if (!received.newer()) {
            replyTo.accept(redirect);
            return;
        }
        WorkerState worker = received.worker();
        worker.redirected(
                context.replica().modRevision(Keys.machinePage(machine.id())),
                context.timeSource().now());
        boolean failoverDue = worker.redirects() >= MIN_REDIRECTS_FOR_FAILOVER;
        if (failoverDue && leaseRenewal.isReplicaStale() && received.acceptsTokenOf(machine)) {
            // During an outage of the state service no controller can become the owner of a machine whose owner has
            // crashed; the worker's lease is renewed until one can.
            replyTo.accept(leaseRenewal.renew(received, machine));
        } else if (failoverDue && mayAcquire(worker, machine)) {
            workerClient
                    .inspector()
                    .inspectSender(
                            received.heartbeat(),
                            worker,
                            alive -> acquireAfterInspection(received, machine, alive, redirect, replyTo));
        } else {
            replyTo.accept(redirect);
        }
    }

    private String redirectTarget(MachineRecord machine) {
        boolean ownerAlive = context.membership().isAlive(machine.owner(), machine.incarnation());
        return ownerAlive
                ? machine.owner()
                : context.membership().controllerOfMachine(machine.id()).orElse(machine.owner());
    }

    /**
     * Whether this controller may try to become the machine's owner. The machines of a suspected controller are acquired together soon,
     * so they are not acquired one by one as their workers send heartbeats here.
     */
    private boolean mayAcquire(WorkerState worker, MachineRecord machine) {
        return context.membership().isMember()
                && !worker.inspectionInFlight()
                && !machineWriter.hasPendingChange(machine.id())
                && !isSuspectedController.test(machine.owner());
    }

    private void acquireAfterInspection(
            ReceivedHeartbeat received,
            MachineRecord redirected,
            boolean alive,
            HeartbeatReply redirect,
            Consumer<HeartbeatReply> replyTo) {
        MachineRecord machine = context.replica().machines().get(redirected.id());
        // A worker that reaches only this controller, and that no controller reaches, is accepted after enough
        // redirects.
        boolean accepted = alive
                || (received.worker().redirects() >= MIN_REDIRECTS_FOR_FAILOVER_WITHOUT_ANSWER
                        && received.hasTokenOf(redirected));
        if (machine == null || context.membership().owns(machine) || !accepted) {
            replyTo.accept(redirect);
            return;
        }
        context.eventRecorder()
                .record(LOG, "machine {} cannot reach its controller {}; taken over", machine.id(), machine.owner());
        workerClient.acquire(
                machine,
                context.timeSource().wallTime().plus(MIN_OWNERSHIP_TIME),
                AcquisitionReply.after(context, machine.id(), replyTo));
    }
}
