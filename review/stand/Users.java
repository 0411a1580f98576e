import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.dunespindle.protocol.MessagePackCodec;

/** Users' requests at given nodes, with the times that users wait, written to the record. */
final class Users {
    private final Record record;
    private final Controllers controllers;

    Users(Record record, Controllers controllers) {
        this.record = record;
        this.controllers = controllers;
    }

    private Http.Reply call(int node, String method, String path, JsonNode body, int seconds) {
        Http.Reply reply = Http.call(controllers.front[node], method, path, body, Duration.ofSeconds(seconds));
        record.line("user at %d: %s %s -> %d %s", node, method, path, reply.status(), reply.body());
        return reply;
    }

    Http.Reply submit(int node, ObjectNode job) {
        return call(node, "POST", "/submissions", job, 5);
    }

    Http.Reply poll(int node, String id) {
        return call(node, "GET", "/submissions/" + id, null, 2);
    }

    Http.Reply withdraw(int node, String id) {
        return call(node, "POST", "/submissions/" + id + "/withdraw", MessagePackCodec.map(), 5);
    }

    boolean healthy(int node) {
        return Http.call(controllers.front[node], "GET", "/healthz", null, Duration.ofSeconds(1)).status() == 200;
    }

    /** Waits until all nodes are healthy. */
    boolean awaitHealthy(double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        while (record.seconds() < until) {
            boolean all = true;
            for (int node = 0; node < controllers.count; node++) {
                all &= healthy(node);
            }
            if (all) {
                record.line("all controllers are healthy");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    boolean awaitPhase(int node, String id, String phase, double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        while (record.seconds() < until) {
            if (poll(node, id).body().path("phase").asText().equals(phase)) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }
}
