package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.dunespindle.api.AdminResponse;
import org.dunespindle.protocol.JobKind;
import org.junit.jupiter.api.Test;

/** The administration API of running controllers. */
class AdminTest {
    private static SimulatedCluster running() {
        var cluster = new SimulatedCluster(31);
        cluster.submit(ClusterTest.job("wk-000001", "red", JobKind.ARRAY, 6, false, true));
        cluster.submit(ClusterTest.job("wk-000002", "red", JobKind.GANG, 9, false, true));
        cluster.submit(ClusterTest.job("wk-000003", "red", JobKind.GANG, 9, false, true));
        cluster.sim.run(Duration.ofSeconds(6));
        return cluster;
    }

    private static AdminResponse get(SimulatedCluster cluster, String path) {
        return cluster.admin(0, "GET", path, "").join();
    }

    @Test
    void everyControllerAppliesAStoredOption() {
        SimulatedCluster cluster = running();
        assertEquals(
                200,
                cluster.admin(0, "PUT", "/v1/options", "{\"stamp\":0,\"values\":{\"idle_return_s\":90}}")
                        .join()
                        .status());
        assertTrue(cluster.admin(2, "GET", "/v1/options", "")
                .join()
                .body()
                .toString()
                .contains("\"value\":90.0"));
        assertEquals(
                409,
                cluster.admin(1, "PUT", "/v1/options", "{\"stamp\":0,\"values\":{\"idle_return_s\":5}}")
                        .join()
                        .status());
        assertTrue(
                get(cluster, "/v1/options").body().toString().contains("\"value\":90.0"),
                "the later edit did not overwrite the earlier one");
    }

    @Test
    void invalidOptionsAreRejectedAndChangeNothing() {
        SimulatedCluster cluster = running();
        for (String values : new String[] {
            "{\"idle_return_s\":-1}", "{\"idle_return_s\":\"x\"}", "{\"quarantine_errors\":1.5}", "{\"nonsense\":1}"
        }) {
            AdminResponse a = cluster.admin(0, "PUT", "/v1/options", "{\"stamp\":0,\"values\":" + values + "}")
                    .join();
            assertEquals(400, a.status());
            assertTrue(a.body().path("error").asText().length() > 20);
        }
        assertEquals(
                400, cluster.admin(0, "PUT", "/v1/options", "nothing").join().status());
        assertEquals(0, get(cluster, "/v1/options").body().path("stamp").asLong());
    }

    @Test
    void waitingJobsShowTheReason() {
        SimulatedCluster cluster = running();
        AdminResponse a = get(cluster, "/v1/jobs/wk-000003");
        assertEquals(200, a.status());
        assertTrue(a.body().path("waits").asText().contains("limit"), a.body().toString());
        assertEquals(404, get(cluster, "/v1/jobs/wk-999999").status());
        assertEquals(404, get(cluster, "/v1/unheard-of").status());
        for (String list : new String[] {"jobs", "hosts", "teams", "controllers", "decisions", "latency", "replica"}) {
            assertEquals(200, get(cluster, "/v1/" + list).status(), list);
        }
    }

    /** A team as one controller shows it; the list is in no order. */
    private static JsonNode team(SimulatedCluster cluster, int node, String name) {
        JsonNode teams =
                cluster.admin(node, "GET", "/v1/teams", "").join().body().path("teams");
        for (JsonNode team : teams) {
            if (team.path("name").asText().equals(name)) {
                return team;
            }
        }
        return fail("no team " + name + " in " + teams);
    }

    /** A team's answer shows the basis of its limit: the stored record and the controller's share of it. */
    @Test
    void teamsShowTheBasisOfTheirLimit() {
        SimulatedCluster cluster = running();
        JsonNode red = team(cluster, 0, "red");
        JsonNode ledger = red.path("ledger");
        assertTrue(ledger.path("recordRevision").asLong() > 0, red.toString());
        assertTrue(
                ledger.path("bound").path("gpus").asDouble()
                        >= red.path("gpusUsed").asDouble(),
                red.toString());
        assertTrue(ledger.path("syncedToRevision").asLong()
                >= ledger.path("recordRevision").asLong());
        long placed = 0;
        for (int node = 0; node < 3; node++) {
            JsonNode there = team(cluster, node, "red").path("ledger");
            placed += there.path("placedWithinShare").asLong()
                    + there.path("placedWithNewRecord").asLong();
        }
        assertTrue(placed > 0, "no controller reports a placement");
    }

    @Test
    void drainedMachineIsTerminatedOnceEmpty() {
        SimulatedCluster cluster = running();
        String host =
                get(cluster, "/v1/hosts").body().path("hosts").get(0).path("id").asText();
        assertEquals(
                200,
                cluster.admin(1, "POST", "/v1/hosts/" + host + "/drain", "")
                        .join()
                        .status());
        assertEquals(
                404,
                cluster.admin(1, "POST", "/v1/hosts/i-none/drain", "").join().status());
        cluster.sim.run(Duration.ofSeconds(60));
        get(cluster, "/v1/hosts")
                .body()
                .path("hosts")
                .forEach(h -> assertTrue(!h.path("id").asText().equals(host), "the drained machine is still listed"));
        assertEquals(java.util.List.of(), cluster.violations);
        assertEquals("done", cluster.lastReportedPhase("wk-000001"));
    }
}
