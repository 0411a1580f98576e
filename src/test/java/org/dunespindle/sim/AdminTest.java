package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.dunespindle.coordination.Admin;
import org.dunespindle.protocol.Shape;
import org.junit.jupiter.api.Test;

/** The administration API of running controllers. */
class AdminTest {
    private static World running() {
        var world = new World(31);
        world.submit(WorldTest.job("wk-000001", "red", Shape.ARRAY, 6, false, true));
        world.submit(WorldTest.job("wk-000002", "red", Shape.GANG, 9, false, true));
        world.submit(WorldTest.job("wk-000003", "red", Shape.GANG, 9, false, true));
        world.sim.run(Duration.ofSeconds(6));
        return world;
    }

    private static Admin.Answer get(World world, String path) {
        return world.admin(0, "GET", path, "").join();
    }

    @Test
    void everyControllerTakesUpAnOption() {
        World world = running();
        assertEquals(
                200,
                world.admin(0, "PUT", "/v1/options", "{\"stamp\":0,\"values\":{\"idle_return_s\":90}}")
                        .join()
                        .status());
        assertTrue(world.admin(2, "GET", "/v1/options", "")
                .join()
                .body()
                .toString()
                .contains("\"value\":90.0"));
        assertEquals(
                409,
                world.admin(1, "PUT", "/v1/options", "{\"stamp\":0,\"values\":{\"idle_return_s\":5}}")
                        .join()
                        .status());
        assertTrue(
                get(world, "/v1/options").body().toString().contains("\"value\":90.0"),
                "the later edit did not overwrite the earlier one");
    }

    @Test
    void wrongOptionsAreRefusedAndChangeNothing() {
        World world = running();
        for (String values : new String[] {
            "{\"idle_return_s\":-1}", "{\"idle_return_s\":\"x\"}", "{\"quarantine_errors\":1.5}", "{\"nonsense\":1}"
        }) {
            Admin.Answer a = world.admin(0, "PUT", "/v1/options", "{\"stamp\":0,\"values\":" + values + "}")
                    .join();
            assertEquals(400, a.status());
            assertTrue(a.body().path("error").asText().length() > 20);
        }
        assertEquals(400, world.admin(0, "PUT", "/v1/options", "nothing").join().status());
        assertEquals(0, get(world, "/v1/options").body().path("stamp").asLong());
    }

    @Test
    void jobsTellWhyTheyWait() {
        World world = running();
        Admin.Answer a = get(world, "/v1/jobs/wk-000003");
        assertEquals(200, a.status());
        assertTrue(a.body().path("waits").asText().contains("limit"), a.body().toString());
        assertEquals(404, get(world, "/v1/jobs/wk-999999").status());
        assertEquals(404, get(world, "/v1/unheard-of").status());
        for (String list : new String[] {"jobs", "hosts", "teams", "controllers", "decisions", "latency"}) {
            assertEquals(200, get(world, "/v1/" + list).status(), list);
        }
    }

    @Test
    void aDrainedMachineLeavesOnceItIsEmpty() {
        World world = running();
        String host =
                get(world, "/v1/hosts").body().path("hosts").get(0).path("id").asText();
        assertEquals(
                200,
                world.admin(1, "POST", "/v1/hosts/" + host + "/drain", "")
                        .join()
                        .status());
        assertEquals(
                404, world.admin(1, "POST", "/v1/hosts/i-none/drain", "").join().status());
        world.sim.run(Duration.ofSeconds(60));
        get(world, "/v1/hosts")
                .body()
                .path("hosts")
                .forEach(h -> assertTrue(!h.path("id").asText().equals(host), "still there"));
        assertEquals(java.util.List.of(), world.broken);
        assertEquals("done", world.lastTold("wk-000001"));
    }
}
