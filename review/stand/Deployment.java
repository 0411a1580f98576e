import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dunespindle.protocol.MessagePackCodec;

/** Settings and messages like those of the deployment in Leoben. */
final class Deployment {
    static final String ZONE = "murtal";
    static final double RESTART_DELAY_S = 4;
    static final String SETTINGS = settings("");

    private Deployment() {}

    static String settings(String moreState) {
        var teams = new StringBuilder();
        for (int i = 0; i < 16; i++) {
            teams.append("[[deployment.teams]]\nname = \"gastservice-%02d\"\n".formatted(i));
            teams.append("cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        return """
                [deployment]
                initial_size = 3
                zones = ["murtal"]
                clock_off_ms = 5.0
                %s
                [[deployment.objectives]]
                kind = "finished"
                class = "nachtkehraus"
                within_s = 150.0
                share = 0.88
                [deployment.workers]
                report_s = 2.0
                lease_s = 14.0
                gang_wait_s = 35.0
                gang_peer_s = 5.0
                cancel_s = 44.0
                [deployment.state]
                rps = 150.0
                write_rps = 25.0
                value_kb = 8.0
                txn_ops = 12
                %s
                [deployment.cloud]
                rps = 5.0
                list_lag_s = 4.0
                [deployment.resources]
                cores = 0.204
                mem_mb = 205.0
                fd_limit = 1000
                """
                .formatted(teams, moreState);
    }

    static State state() {
        return new State(150, 25, 8 << 10, 12);
    }

    static Platform platform(Record record, Controllers controllers) {
        ArrayNode catalog = MessagePackCodec.map().putArray("hulls");
        type(catalog, "kleinbox", 8, 0, 64, 50, 0.54, 0.19);
        type(catalog, "werkbank", 32, 0, 256, 60, 2.07, 0.75);
        type(catalog, "erzberg", 48, 8, 384, 150, 24.05, 8.81);
        return new Platform(record, controllers.front, 2, 14, 35, catalog);
    }

    private static void type(
            ArrayNode catalog, String name, double cpus, double gpus, double ram, double cache, double price, double low) {
        catalog.addObject()
                .put("name", name)
                .put("vcpus", cpus)
                .put("accelerators", gpus)
                .put("ramGb", ram)
                .put("cacheGb", cache)
                .put("fetchGbPerS", 0.4)
                .put("hourly", price)
                .put("lowPrice", low)
                .put("readyS", 25.0)
                .putArray("dunes")
                .add(ZONE);
    }

    /** A job of the class nachtkehraus. */
    static ObjectNode cleanup(String id, int pieces) {
        ObjectNode job = MessagePackCodec.map()
                .put("id", id)
                .put("jobclass", "nachtkehraus")
                .put("owner", "gastservice-00")
                .put("shape", "array")
                .put("rank", "low")
                .put("pieces", pieces)
                .put("vcpus", 1.0)
                .put("accelerators", 0.0)
                .put("ramGb", 6.3)
                .put("bundle", "img-07")
                .put("imageGb", 1.2);
        job.putNull("hulls");
        job.putNull("dune");
        return job.put("samePlace", false)
                .put("apart", false)
                .put("driftwood", true)
                .put("guessS", 30.0)
                .put("snapshotS", 0.0)
                .put("flushS", 0.0)
                .putNull("dueS");
    }

    static final List<Integer> ACCEPTED = List.of(200, 201);
}
