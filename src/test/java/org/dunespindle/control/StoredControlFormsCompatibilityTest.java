package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Resources;
import org.dunespindle.scheduling.QuotaAdmission;
import org.dunespindle.storage.FormatVersion;
import org.junit.jupiter.api.Test;

/**
 * The exact stored formats of the records of controllers, teams and options. Running cells contain such records, so renames in the
 * sources must not change the formats.
 */
class StoredControlFormsCompatibilityTest {
    private static final Duration LEASE = Duration.ofSeconds(10);

    private static Membership membership(StateServiceStub service) {
        return new Membership("n0", FormatVersion.DELEGATION_LINKS, service.client, service.replica, service.process);
    }

    private static void run(StateServiceStub service, Membership membership) {
        for (int i = 0; i < 20; i++) {
            membership.tick();
            service.virtualTime.run(service.virtualTime.now().plusMillis(100));
        }
    }

    @Test
    void recordsOfAControllerThatJoinsAndLeads() throws MalformedMessageException {
        var service = new StateServiceStub(Map.of("ds/incarnation/n0", "{\"n\":4}"));
        Membership membership = membership(service);
        run(service, membership);
        assertEquals(
                Map.of(
                        "ds/incarnation/n0", "{\"n\":5}",
                        "ds/member/n0", "{\"inc\":5,\"version\":3}",
                        "ds/leader", "{\"node\":\"n0\",\"inc\":5}"),
                service.written);
        assertEquals(5, membership.incarnation());
        assertTrue(membership.isLeader());
    }

    @Test
    void recordsOfAnotherLeader() throws MalformedMessageException {
        var service = new StateServiceStub(Map.of(
                "ds/member/n1", "{\"inc\":3,\"version\":2}",
                "ds/member/n2", "{\"inc\":8}",
                "ds/leader", "{\"node\":\"n1\",\"inc\":3}"));
        Membership membership = membership(service);
        run(service, membership);
        assertEquals(Optional.of("n1"), membership.leader());
        assertEquals(Optional.of(3L), membership.incarnationOf("n1"));
        assertEquals(FormatVersion.CHUNKED_JOB_RECORDS, membership.formatVersionOf("n1"));
        assertEquals(FormatVersion.WHOLE_RECORDS, membership.formatVersionOf("n2"));
        assertEquals(
                Map.of("ds/incarnation/n0", "{\"n\":1}", "ds/member/n0", "{\"inc\":1,\"version\":3}"),
                service.written,
                "it leaves the leader's key alone");
    }

    @Test
    void quotaReservationOfATeam() {
        JsonNode stored = StateServiceStub.json("{\"cpus\":12.5,\"gpus\":3.0,\"shareCpus\":2.25,\"shareGpus\":1.0}");
        var reservation = new QuotaAdmission.Reservation(new Resources(12.5, 3, 0), new Resources(2.25, 1, 0));
        assertEquals(stored.toString(), reservation.toJson().toString());
        assertEquals(reservation, QuotaAdmission.Reservation.fromJson(Optional.of(stored)));
        JsonNode storedWithoutShare = StateServiceStub.json("{\"cpus\":12.5,\"gpus\":3.0}");
        assertEquals(
                new QuotaAdmission.Reservation(new Resources(12.5, 3, 0), Resources.NONE),
                QuotaAdmission.Reservation.fromJson(Optional.of(storedWithoutShare)));
    }

    @Test
    void operatorsOptions() {
        Options options = Options.of(Optional.of(StateServiceStub.json("""
                        {"first_hold_timer_s":11,"idle_return_s":12.5,"idle_spot_return_s":13,"silent_return_s":14,
                         "quarantine_errors":15,"boot_patience":16,"spare_jobs":7,"borrowed_machines":18,"lent_s":19,
                         "spill_after_s":20,"recall_after_s":21,"spill_pause_s":22,"most_transfers":13,
                         "most_visitors":24}""")), LEASE);
        assertEquals(Duration.ofSeconds(11), options.gangPlacementTimeout());
        assertEquals(Duration.ofMillis(12_500), options.idleTimeout(false));
        assertEquals(Duration.ofSeconds(13), options.idleTimeout(true));
        assertEquals(Duration.ofSeconds(14), options.failureTimeout());
        assertEquals(15, options.quarantineFailures());
        assertEquals(16, options.bootTimeoutMultiple());
        assertEquals(7, options.spareJobs());
        assertEquals(18, options.maxBorrowedMachines());
        assertEquals(Duration.ofSeconds(19), options.borrowedMachineIdleTimeout());
        assertEquals(Duration.ofSeconds(20), options.delegationDelay());
        assertEquals(Duration.ofSeconds(21), options.recallTimeout());
        assertEquals(Duration.ofSeconds(22), options.delegationBackoff());
        assertEquals(13, options.maxDelegationsPerJob());
        assertEquals(24, options.maxInboundJobs());
        assertEquals(14, options.describe().size(), "every option is read above");
    }
}
