package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.dunespindle.api.AdminResponse;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Pins the answers of the administration API, which operators' tools read: literally where a record stored by the test determines them,
 * otherwise by their keys. Neither keys nor words may change when names in the sources change.
 */
class AdminAnswersCompatibilityTest {
    private static final String DESCRIPTION = """
            {"id":"%s","jobclass":"train","owner":"red","shape":"%s","rank":"urgent","pieces":2,
             "vcpus":1.0,"accelerators":1.0,"ramGb":1.0,"samePlace":false,"apart":false,"driftwood":false,
             "bundle":"image","imageGb":1.0,"guessS":5.0,"snapshotS":0.0,"flushS":0.0}""";

    private static SimulatedCluster running() {
        var cluster = new SimulatedCluster(31);
        cluster.submit(ClusterTest.job("wk-000001", "red", JobKind.ARRAY, 6, false, true));
        cluster.submit(ClusterTest.job("wk-000002", "red", JobKind.GANG, 9, false, true));
        cluster.submit(ClusterTest.job("wk-000003", "red", JobKind.GANG, 9, false, true));
        cluster.sim.run(Duration.ofSeconds(6));
        return cluster;
    }

    private static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes a value to the state store, as a controller would. */
    private static void store(SimulatedCluster cluster, String key, String text) {
        ObjectNode change = MessagePackCodec.map().put("write", key);
        change.set("v", json(text));
        ObjectNode txn = MessagePackCodec.map();
        txn.putArray("guards");
        txn.putArray("apply").add(change);
        assertEquals(200, cluster.state.answer("POST", "/txn", txn).status());
    }

    private static ObjectNode get(SimulatedCluster cluster, String path) {
        return answer(cluster, "GET", path, "", 200);
    }

    private static ObjectNode answer(SimulatedCluster cluster, String method, String path, String body, int status) {
        AdminResponse answer = cluster.admin(Math.max(0, cluster.leader()), method, "/v1/" + path, body)
                .join();
        assertEquals(status, answer.status(), answer.body().toString());
        return answer.body();
    }

    /** Returns an answer with all values blanked and lists reduced to their first entry. */
    private static JsonNode keys(JsonNode node) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (node.isObject()) {
            ObjectNode object = nodes.objectNode();
            node.properties().forEach(field -> object.set(field.getKey(), keys(field.getValue())));
            return object;
        }
        if (node.isArray()) {
            ArrayNode list = nodes.arrayNode();
            return node.isEmpty() ? list : list.add(keys(node.get(0)));
        }
        return node.isTextual()
                ? nodes.textNode("")
                : node.isBoolean() ? nodes.booleanNode(false) : nodes.numberNode(0);
    }

    private static String keysOf(JsonNode node) {
        return keys(node).toString().replace("\"", "'");
    }

    private static String text(JsonNode node) {
        return node.toString().replace("\"", "'");
    }

    private static String job(String id, String shape, String end, String mode) {
        return "{\"at\":1700000000123,\"end\":\"" + end + "\",\"job\":" + DESCRIPTION.formatted(id, shape)
                + ",\"gen\":21,\"next\":2,\"mode\":\"" + mode
                + "\",\"try\":17,\"order\":1700000000456,\"fails\":3,\"again\":\"\","
                + "\"claims\":[[15,false,{\"i-990\":{\"7\":\"1\"}}]]}";
    }

    @Test
    void jobsInEveryMode() {
        SimulatedCluster cluster = running();
        var modes = new TreeMap<>(Map.of(
                JobRecord.GangPhase.QUEUED, "queued 0 16 idle",
                JobRecord.GangPhase.PLACEHOLDERS, "queued 0 16 hold",
                JobRecord.GangPhase.RUNNING, "running 1 17 real",
                JobRecord.GangPhase.STOPPING, "queued 0 17 stop"));
        assertEquals(List.of(JobRecord.GangPhase.values()), new ArrayList<>(modes.keySet()));
        List<String> stored = List.of("IDLE", "HOLD", "REAL", "STOP");
        modes.forEach((mode, shown) -> {
            String id = "wk-00090" + mode.ordinal();
            store(cluster, "ds/job/" + id, job(id, "group", "OPEN", stored.get(mode.ordinal())));
            ObjectNode answer = get(cluster, "jobs/" + id);
            String[] words = shown.split(" ");
            boolean waits = answer.remove("waits") != null;
            assertEquals(mode != JobRecord.GangPhase.RUNNING, waits);
            assertEquals(
                    "{'id':'" + id + "','phase':'" + words[0] + "','done':0,'running':" + words[1]
                            + ",'failures':3,'class':'train','team':'red','shape':'group','priority':'urgent','tasks':2,"
                            + "'accepted':'2023-11-14T22:13:20.123Z','mode':'" + words[3]
                            + "','places':[{'task':1,'host':'i-9907','attempt':" + words[2] + ",'stopping':false}]}",
                    text(answer));
        });
    }

    @Test
    void endedJobsServicesAndInboundDelegations() {
        SimulatedCluster cluster = running();
        store(cluster, "ds/job/wk-000901", "{\"at\":1700000000123,\"end\":\"DONE\",\"next\":3}");
        assertEquals(
                "{'id':'wk-000901','phase':'done','done':3,'running':0,'accepted':'2023-11-14T22:13:20.123Z'}",
                text(get(cluster, "jobs/wk-000901")));
        store(
                cluster,
                "ds/job/wk-000902",
                "{\"at\":1700000000123,\"end\":\"CANCELLED\",\"visit\":[\"a\",12,false],\"next\":0}");
        assertEquals(
                "{'id':'wk-000902','phase':'cancelled','done':0,'running':0,'visitorOf':'a',"
                        + "'accepted':'2023-11-14T22:13:20.123Z'}",
                text(get(cluster, "jobs/wk-000902")));
        store(cluster, "ds/job/wk-000903", job("wk-000903", "daemon", "OPEN", "IDLE"));
        assertEquals(
                "{'id':'wk-000903','phase':'running','done':1,'running':1,'failures':3,'class':'train','team':'red',"
                        + "'shape':'daemon','priority':'urgent','tasks':2,'accepted':'2023-11-14T22:13:20.123Z',"
                        + "'replicasWanted':2,'replicasRunning':1,'replicasRestarting':1,'mode':'idle',"
                        + "'places':[{'task':1,'host':'i-9907','attempt':15,'stopping':false}]}",
                text(get(cluster, "jobs/wk-000903")));
    }

    @Test
    void lists() {
        SimulatedCluster cluster = running();
        assertEquals(
                "{'jobs':[{'id':'','phase':'','done':0,'running':0,'class':'','team':'','shape':'','priority':'',"
                        + "'tasks':0,'accepted':''}],'finished':0}",
                keysOf(get(cluster, "jobs")));
        assertEquals(
                "{'leader':'','controllers':[{'name':'','incarnation':0,'machines':0}]}",
                keysOf(get(cluster, "controllers")));
        assertEquals("{'controller':'','decisions':[{'at':'','what':''}]}", keysOf(get(cluster, "decisions")));
        assertEquals(
                "{'hosts':[{'id':'','type':'','zone':'','spot':false,'owner':'','token':0,'rented':'','tasks':0,"
                        + "'leaving':false}]}",
                keysOf(get(cluster, "hosts")));
        assertEquals(
                "{'controller':'','jobs':0,'keys':0,'cancelledJobs':0,'endedJobs':0,'cacheHits':0,'reads':0,"
                        + "'failedReads':0,'refusedReads':0}",
                keysOf(get(cluster, "replica")));
        ObjectNode latency = get(cluster, "latency");
        var names = new ArrayList<String>();
        latency.fieldNames().forEachRemaining(names::add);
        assertEquals(
                "accept cloudCall decisionRound holdPlacement plan replacement stateCall", String.join(" ", names));
        latency.forEach(
                histogram -> assertEquals("{'count':0,'p50Ms':0,'p90Ms':0,'p99Ms':0,'maxMs':0}", keysOf(histogram)));
    }

    @Test
    void teams() {
        for (JsonNode team : get(running(), "teams").path("teams")) {
            String limit = team.path("name").asText().equals("green") ? "" : "'gpusMost':0,";
            assertEquals(
                    "{'name':'','cpusUsed':0,'gpusUsed':0,'cpusGuaranteed':0,'gpusGuaranteed':0," + limit
                            + "'ledger':{'recordRevision':0,'syncedToRevision':0,'entitled':false,"
                            + "'bound':{'gpus':0,'cpus':0},'share':{'gpus':0,'cpus':0},"
                            + "'placedUnderRecord':{'gpus':0,'cpus':0},'unsure':{'gpus':0,'cpus':0},"
                            + "'placedWithinShare':0,'placedWithNewRecord':0,'refused':0,'unanswered':0,'sharesClosed':0,"
                            + "'waited':0,'lastWait':''}}",
                    keysOf(team));
        }
    }

    @Test
    void machineBeingTerminated() {
        SimulatedCluster cluster = running();
        store(
                cluster,
                "ds/page/i-990",
                "{\"i-9907\":[\"\",\"gpu-8\",\"east\",true,\"n9\",4,11,1700000000000,0,true,\"it is idle\"]}");
        for (JsonNode host : get(cluster, "hosts").path("hosts")) {
            if (host.path("id").asText().equals("i-9907")) {
                assertEquals(
                        "{'id':'i-9907','type':'gpu-8','zone':'east','spot':true,'owner':'n9','token':11,"
                                + "'rented':'2023-11-14T22:13:20Z','tasks':0,'leaving':true,'lentBy':'n1','why':'it is idle'}",
                        text(host));
                return;
            }
        }
        fail("the machine is not shown");
    }

    @Test
    void optionsAndTheirStoredForm() {
        SimulatedCluster cluster = running();
        ObjectNode options = get(cluster, "options");
        assertEquals(
                "{'stamp':0,'options':[{'name':'','value':0,'default':0,'least':0,'most':0,'type':'','meaning':''}]}",
                keysOf(options));
        var names = new ArrayList<String>();
        options.path("options").forEach(option -> names.add(option.path("name").asText()));
        assertEquals(
                "first_hold_timer_s idle_return_s idle_spot_return_s silent_return_s quarantine_errors boot_patience"
                        + " spare_jobs borrowed_machines lent_s spill_after_s recall_after_s spill_pause_s"
                        + " most_transfers most_visitors",
                String.join(" ", names));
        String change = "{\"stamp\":0,\"values\":{\"idle_return_s\":90,\"lent_s\":12.5}}";
        assertEquals("{'stamp':0}", keysOf(answer(cluster, "PUT", "options", change, 200)));
        assertEquals(
                "{\"idle_return_s\":90,\"lent_s\":12.5}",
                cluster.state.rows().get("ds/options").value().toString());
        assertEquals("{'error':''}", keysOf(answer(cluster, "PUT", "options", change, 409)));
    }

    @Test
    void drainingAMachineAndErrors() {
        SimulatedCluster cluster = running();
        String host = get(cluster, "hosts").path("hosts").get(0).path("id").asText();
        assertEquals(
                "{'id':'" + host + "','leaving':true}",
                text(answer(cluster, "POST", "hosts/" + host + "/drain", "", 200)));
        assertEquals("{'error':'no such machine'}", text(answer(cluster, "POST", "hosts/i-none/drain", "", 404)));
        assertEquals("{'error':''}", keysOf(answer(cluster, "GET", "unheard-of", "", 404)));
        assertEquals("{'error':''}", keysOf(answer(cluster, "DELETE", "jobs", "", 405)));
        assertEquals("{'error':'no such job'}", text(answer(cluster, "GET", "jobs/wk-999999", "", 404)));
    }

    @Test
    void remoteCellsAndDelegationsInEveryPhase() throws MalformedMessageException {
        var federation = new SimulatedFederation(8, 2, 3, 3);
        federation.sim.run(Duration.ofSeconds(20));
        SimulatedCluster cell = federation.cell("a");
        assertEquals(
                "{'self':{'name':'','identity':'','incarnation':0,'mark':''},'takesPart':false,'cells':["
                        + "{'name':'','state':'','answeredMsAgo':0,"
                        + "'stored':{'name':'','identity':'','incarnation':0,'mark':''},'floor':0,'abandoned':false,"
                        + "'roomMsOld':0,'roomHints':0,'jobsThere':0,'itsJobsHere':0}]}",
                keysOf(get(cell, "cells")));
        List<String> phases = List.of("OFFERED", "HOME", "RECALLED", "ACCEPTED");
        for (String phase : phases) {
            String id = "wk-00090" + phases.indexOf(phase);
            String stored = "{\"at\":1700000000123,\"end\":\"OPEN\",\"job\":" + DESCRIPTION.formatted(id, "group")
                    + ",\"gen\":1,\"next\":0,\"mode\":\"IDLE\",\"try\":0,\"order\":1700000000456,\"fails\":0,"
                    + "\"away\":[\"b\",12,\"" + phase + "\",2,1700000030000],\"again\":\"\",\"claims\":[]}";
            cell.jobs.put(id, Submission.parse(json(DESCRIPTION.formatted(id, "group"))));
            // Each delegation is queried right after it is stored, before its state changes.
            store(cell, "ds/job/" + id, stored);
            ObjectNode delegation = delegation(cell, id);
            delegation.remove("waits");
            assertEquals(
                    "{'job':'" + id + "','team':'red','priority':'urgent','cell':'b','transfer':12,'phase':'"
                            + phase.toLowerCase(Locale.ROOT) + "','transfers':2,'notBefore':'2023-11-14T22:13:50Z'}",
                    text(delegation));
        }
        // The other cell has accepted the offered job by now and has reported that.
        ObjectNode taken = delegation(cell, "wk-000900");
        assertEquals("accepted", taken.path("phase").asText());
        assertTrue(List.of("QUEUED", "BEGUN").contains(taken.path("told").asText()), taken.toString());
        assertEquals(
                "{'job':'','team':'','priority':'','cell':'','transfer':0,'phase':'','transfers':0,'notBefore':'',"
                        + "'told':'','toldMsAgo':0,'waits':''}",
                keysOf(taken));
    }

    private static ObjectNode delegation(SimulatedCluster cell, String id) {
        JsonNode delegations = get(cell, "delegations").path("delegations");
        for (JsonNode delegation : delegations) {
            if (delegation.path("job").asText().equals(id)) {
                return (ObjectNode) delegation;
            }
        }
        return fail("no " + id + " in " + delegations);
    }

    @Test
    void inboundDelegationsAndAbandonedCells() {
        var federation = new SimulatedFederation(8, 2, 3, 3);
        federation.sim.run(Duration.ofSeconds(20));
        SimulatedCluster cell = federation.cell("a");
        String stored = "{\"at\":1700000000123,\"end\":\"OPEN\",\"job\":" + DESCRIPTION.formatted("wk-000902", "group")
                + ",\"gen\":1,\"next\":0,\"mode\":\"IDLE\",\"try\":0,\"order\":1700000000456,\"fails\":0,"
                + "\"visit\":[\"b\",12,false],\"again\":\"\",\"claims\":[]}";
        store(cell, "ds/job/wk-000902", stored);
        assertEquals(
                "{'delegations':[],'visitors':[{'job':'wk-000902','home':'b','transfer':12,'begun':false}]}",
                text(get(cell, "delegations")));
        assertEquals(
                "{'error':'','jobsThere':0,'itsJobsHere':0}",
                keysOf(answer(cell, "POST", "cells/c/abandon", "{}", 400)));
        assertEquals(
                "{'cell':'','abandoned':false,'risk':''}",
                keysOf(answer(cell, "POST", "cells/c/abandon", "{\"confirm\":\"c\"}", 200)));
    }
}
