package org.dunespindle.controller;

import java.time.Duration;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.EventRecorder;
import org.dunespindle.control.FormatUpgrade;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Membership;
import org.dunespindle.control.OversizeRecordSplitter;
import org.dunespindle.control.PauseDetector;
import org.dunespindle.control.WorkerRegistry;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.FormatSupport;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.time.TimeSource;
import org.dunespindle.transport.HttpClient;

/** The components that all others use: state store client and replica, membership, commit queue, options and the worker registry. */
final class SharedParts {
    private static final Duration REPLICA_SYNC_INTERVAL = Duration.ofMillis(300);

    final Settings settings;
    final TimeSource timeSource;
    final PauseDetector pauseDetector;
    final StateStoreClient stateStore;
    final StateReplica replica;
    final StoredOptions options;
    final Membership membership;
    final CommitQueue commitQueue;
    final WorkerRegistry workers = new WorkerRegistry();
    final ControllerContext context;
    final FormatUpgrade formatUpgrade;
    final OversizeRecordSplitter oversizeRecordSplitter;
    final MachineRecordWriter machineWriter;

    SharedParts(
            Settings settings,
            HttpClient httpClient,
            TimeSource timeSource,
            PauseDetector pauseDetector,
            FormatSupport formats,
            Runnable requestRound) {
        this.settings = settings;
        this.timeSource = timeSource;
        this.pauseDetector = pauseDetector;
        stateStore = new StateStoreClient(httpClient, settings, timeSource);
        replica = new StateReplica(stateStore, timeSource, REPLICA_SYNC_INTERVAL, requestRound);
        options = new StoredOptions(replica, settings.workers().leaseDuration());
        membership = new Membership(settings.nodeName(), formats.announced(), stateStore, replica, timeSource);
        commitQueue = new CommitQueue(
                stateStore, replica, timeSource, settings.state().lowest().txnOps(), requestRound);
        context = new ControllerContext(
                settings,
                timeSource,
                replica,
                new JobRecordWriter(replica, settings.state()),
                membership,
                workers,
                new EventRecorder(timeSource),
                pauseDetector);
        formatUpgrade = new FormatUpgrade(context, commitQueue, formats);
        oversizeRecordSplitter = new OversizeRecordSplitter(context, commitQueue, stateStore);
        machineWriter = new MachineRecordWriter(replica, commitQueue, timeSource);
    }
}
