package org.dunespindle.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges heartbeats with the other controllers, about once a second. A heartbeat carries the staleness of the sender's replica,
 * its write demand and, to the leader only, changes of the sender's machines. All of it is advisory: safety depends only on the state
 * service and on the workers' status.
 */
public final class PeerHeartbeats {
    private static final Logger LOG = LoggerFactory.getLogger(PeerHeartbeats.class);
    private static final String PATH = "/peer/heartbeat";
    private static final String CONTENT_TYPE = "application/json";
    private static final int OK = 200;
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1500);
    /** The replica staleness from which on the state service counts as out. */
    private static final Duration MIN_STALENESS_OF_OUTAGE = Duration.ofSeconds(3);

    private final Settings settings;
    private final HttpClient httpClient;
    private final TimeSource timeSource;
    private final LongSupplier incarnation;
    private final Supplier<Optional<String>> leader;
    private final StateReplica replica;
    private final Listener listener;
    private final PeerLiveness peerLiveness;
    private final MachineDirectory machineDirectory;
    /** The sequence up to which each controller has applied this controller's machine reports. */
    private final Map<String, Long> acknowledgedSequences = new HashMap<>();

    /** Receives the contents of heartbeats and replies that other parts of the controller process. */
    public interface Listener {
        /** Called for each image in a machine report: the machine has it cached. */
        void onImageCached(String machineId, String image);

        /**
         * Called with the complete list of cancelled jobs in a controller's reply; this controller's replica may lack them.
         *
         * @param requestedAt when the heartbeat was sent that the controller replied to
         */
        void onJobsCancelled(String node, Duration requestedAt, List<String> jobs);
    }

    /**
     * Creates the exchange; nothing is sent before {@link #send}.
     *
     * @param incarnation this process's incarnation
     * @param leader the current leader's name
     */
    public PeerHeartbeats(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            LongSupplier incarnation,
            Supplier<Optional<String>> leader,
            StateReplica replica,
            Listener listener) {
        this.settings = settings;
        this.httpClient = httpClient;
        this.timeSource = timeSource;
        this.incarnation = incarnation;
        this.leader = leader;
        this.replica = replica;
        this.listener = listener;
        this.peerLiveness = new PeerLiveness(timeSource);
        this.machineDirectory = new MachineDirectory(timeSource, peerLiveness);
    }

    /** The last heartbeat of a controller; empty if it is not recent. */
    public Optional<PeerState> recentHeartbeat(String node) {
        return peerLiveness.recentHeartbeat(node);
    }

    /** Whether a controller's heartbeats stopped so recently that it may have crashed without its lease having expired. */
    public boolean isSuspected(String node) {
        return peerLiveness.isSuspected(node);
    }

    /** The last heartbeats of all controllers whose heartbeat is recent. */
    public List<PeerState> livePeers() {
        return peerLiveness.livePeers();
    }

    /** The owner's last report of a machine under its current token; empty if the owner's last heartbeat is not recent. */
    public Optional<ReportedMachine> currentReport(MachineRecord machine) {
        return machineDirectory.currentReport(machine);
    }

    /** The owner's last report of a machine under its current token, of any age: for an owner that is alive but partitioned from here. */
    public Optional<ReportedMachine> lastReport(MachineRecord machine) {
        return machineDirectory.lastReport(machine);
    }

    /** The address of a machine, if its owner has reported one. */
    public Optional<String> address(MachineRecord machine) {
        return machineDirectory.address(machine);
    }

    /** When a machine was last seen alive by any other controller. */
    public Optional<Duration> lastSeenAlive(MachineRecord machine) {
        return machineDirectory.lastSeenAlive(machine);
    }

    /** Discards the reports of all machines except these. */
    public void retainMachines(Set<String> machineIds) {
        machineDirectory.retainMachines(machineIds);
    }

    /** Whether this controller and those whose heartbeats are recent are a majority of all controllers. */
    public boolean hearsMajority() {
        int controllers = settings.seeds().size() + 1;
        return 2 * (livePeers().size() + 1) > controllers;
    }

    /** Whether another controller reads the state service, according to its recent heartbeat. */
    public boolean hearsControllerWithFreshReplica() {
        return livePeers().stream().anyMatch(peer -> peer.replicaStaleness().compareTo(MIN_STALENESS_OF_OUTAGE) < 0);
    }

    /** Whether the statuses of this controller's machines are sent to any other controller. */
    public boolean sendsMachineReports(Duration replicaStaleness) {
        return settings.seeds().stream().anyMatch(peer -> receivesMachineReports(peer.name(), replicaStaleness));
    }

    /**
     * Whether another controller acts on machine reports: the leader, and while the state service is out any controller, since the leader
     * can't be replaced.
     */
    private boolean receivesMachineReports(String peer, Duration replicaStaleness) {
        return replicaStaleness.compareTo(MIN_STALENESS_OF_OUTAGE) >= 0
                || leader.get().filter(peer::equals).isPresent();
    }

    /**
     * Sends a heartbeat to every other controller.
     *
     * @param statuses the statuses of this controller's machines, sorted by sequence
     */
    public void send(Duration replicaStaleness, WriteDemand writeDemand, List<MachineStatus> statuses) {
        SenderStatus sender = status(replicaStaleness, writeDemand);
        for (Settings.Seed peer : settings.seeds()) {
            var heartbeat = new PeerHeartbeat(
                    sender,
                    OptionalLong.of(replica.appliedRevision()),
                    unacknowledgedReports(peer.name(), replicaStaleness, statuses));
            Duration requestedAt = timeSource.now();
            httpClient
                    .send(
                            peer.address(),
                            "POST",
                            PATH,
                            PeerHeartbeatCodec.encode(heartbeat),
                            CONTENT_TYPE,
                            REQUEST_TIMEOUT)
                    .whenComplete((response, failure) -> onResponse(peer.name(), requestedAt, response, failure));
        }
    }

    private SenderStatus status(Duration replicaStaleness, WriteDemand writeDemand) {
        return new SenderStatus(settings.nodeName(), incarnation.getAsLong(), replicaStaleness, writeDemand);
    }

    private Optional<MachineReportBatch> unacknowledgedReports(
            String peer, Duration replicaStaleness, List<MachineStatus> statuses) {
        if (!receivesMachineReports(peer, replicaStaleness)) {
            return Optional.empty();
        }
        return Optional.of(MachineReportBatch.select(statuses, acknowledgedSequences.getOrDefault(peer, 0L)));
    }

    private void onResponse(String peer, Duration requestedAt, HttpClientResponse response, Throwable failure) {
        if (response == null) {
            LOG.debug("peer heartbeat failed peer={} reason={}", peer, String.valueOf(failure));
        } else if (response.status() != OK) {
            LOG.debug("peer heartbeat refused peer={} status={}", peer, response.status());
        } else {
            onReply(peer, requestedAt, response.body());
        }
    }

    private void onReply(String peer, Duration requestedAt, byte[] body) {
        PeerHeartbeatReply reply;
        try {
            reply = PeerHeartbeatCodec.decodeReply(body);
        } catch (IOException e) {
            LOG.debug("unreadable reply to peer heartbeat ignored peer={} reason={}", peer, e.toString());
            return;
        }
        if (!reply.sender().node().equals(peer)) {
            LOG.debug(
                    "peer heartbeat answered by another controller, reply ignored peer={} sender={}",
                    peer,
                    reply.sender().node());
            return;
        }
        peerLiveness.heartbeatReceived(reply.sender());
        reply.cancelledJobs().ifPresent(jobs -> listener.onJobsCancelled(peer, requestedAt, jobs));
        acknowledgedSequences.put(peer, reply.acknowledgedSequence(incarnation.getAsLong()));
    }

    /** Processes another controller's heartbeat and returns the encoded reply; an unreadable heartbeat has no effect. */
    public ObjectNode receive(byte[] body, Duration replicaStaleness, WriteDemand writeDemand) {
        SenderStatus self = status(replicaStaleness, writeDemand);
        PeerHeartbeatReply reply;
        try {
            reply = onHeartbeat(PeerHeartbeatCodec.decodeHeartbeat(body), self);
        } catch (IOException e) {
            LOG.debug("unreadable peer heartbeat ignored reason={}", e.toString());
            reply = PeerHeartbeatReply.toUnreadable(self);
        }
        return PeerHeartbeatCodec.encode(reply);
    }

    private PeerHeartbeatReply onHeartbeat(PeerHeartbeat heartbeat, SenderStatus self) {
        SenderStatus sender = heartbeat.sender();
        peerLiveness.heartbeatReceived(sender);
        machineDirectory.beginIncarnation(sender.node(), sender.incarnation());
        // A batch that does not continue the applied reports is ignored; the acknowledgement contains the sequence to
        // resume from.
        heartbeat
                .machineReports()
                .filter(batch -> machineDirectory.continues(sender.node(), batch))
                .ifPresent(batch -> applyReports(sender.node(), batch));
        var acknowledgement = new PeerHeartbeatReply.Acknowledgement(
                machineDirectory.appliedSequence(sender.node()), sender.incarnation());
        return new PeerHeartbeatReply(
                self, Optional.of(acknowledgement), cancelledJobsSince(heartbeat.appliedRevision()));
    }

    private void applyReports(String sender, MachineReportBatch batch) {
        machineDirectory.apply(sender, batch);
        for (MachineReport report : batch.reports()) {
            report.images().forEach(image -> listener.onImageCached(report.machineId(), image));
        }
    }

    /**
     * The jobs cancelled after a revision: only from a completely loaded replica, and either all of them or none, because the sender
     * relies on the list containing every cancellation that this controller has confirmed before. Without a list it uses the staleness of its
     * replica.
     */
    private Optional<List<String>> cancelledJobsSince(OptionalLong revision) {
        if (!replica.isLoaded() || revision.isEmpty()) {
            return Optional.empty();
        }
        return replica.cancelledSince(revision.getAsLong());
    }
}
