import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;

/** Settings and messages like those of the deployment in Recife. */
final class Recife {
    static final List<String> ZONES = List.of("boaviagem", "olinda", "boaviagem");
    static final double RESTART_DELAY_S = 8;
    static final String SETTINGS = """
            [deployment]
            initial_size = 3
            zones = ["boaviagem", "olinda"]
            clock_off_ms = 5.0
            [[deployment.teams]]
            name = "nucleo"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 48.0
            gpus_max = 200.0
            [[deployment.teams]]
            name = "mobilidade"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 56.0
            gpus_max = 152.0
            [[deployment.teams]]
            name = "dadosabertos"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 96.0
            gpus_max = 296.0
            [[deployment.objectives]]
            kind = "finished"
            class = "testegrade"
            within_s = 200.0
            share = 0.85
            [deployment.workers]
            report_s = 1.0
            lease_s = 10.0
            gang_wait_s = 35.0
            gang_peer_s = 5.0
            cancel_s = 35.0
            [deployment.state]
            rps = 80.0
            write_rps = 30.0
            value_kb = 8.0
            txn_ops = 16
            [deployment.cloud]
            rps = 6.0
            list_lag_s = 3.0
            [deployment.resources]
            cores = 0.136
            mem_mb = 176.0
            fd_limit = 700
            """;

    private Recife() {}

    static State state() {
        return new State(80, 30, 8 << 10, 16);
    }

    static Platform platform(Record record, Controllers controllers) {
        ArrayNode catalog = MessagePackCodec.map().putArray("hulls");
        ArrayNode zones = catalog.addObject()
                .put("name", "jangada")
                .put("vcpus", 64.0)
                .put("accelerators", 8.0)
                .put("ramGb", 384.0)
                .put("cacheGb", 150.0)
                .put("fetchGbPerS", 0.3)
                .put("hourly", 20.56)
                .put("lowPrice", 7.43)
                .put("readyS", 35.0)
                .putArray("dunes");
        zones.add("boaviagem").add("olinda");
        return new Platform(record, controllers.front, 1, 10, 35, catalog);
    }

    /** A job of the class testegrade. */
    static ObjectNode testSuites(String id, int pieces) {
        ObjectNode job = MessagePackCodec.map()
                .put("id", id)
                .put("jobclass", "testegrade")
                .put("owner", "dadosabertos")
                .put("shape", "array")
                .put("rank", "normal")
                .put("pieces", pieces)
                .put("vcpus", 6.0)
                .put("accelerators", 1.0)
                .put("ramGb", 36.0)
                .put("bundle", "img-03")
                .put("imageGb", 4.0);
        job.putArray("hulls").add("jangada");
        job.putNull("dune");
        return job.put("samePlace", false)
                .put("apart", false)
                .put("driftwood", true)
                .put("guessS", 80.0)
                .put("snapshotS", 15.0)
                .put("flushS", 6.0)
                .putNull("dueS");
    }
}
