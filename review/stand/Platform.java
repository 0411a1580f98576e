import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.protocol.MessagePackCodec;

/** The cloud of the PROTOCOL page with its workers, and what runs where. */
final class Platform {
    final Record record;
    final Random random = new Random(1);
    final double reportS;
    final double leaseS;
    final double gangWaitS;
    final int nodes;
    final Map<String, JsonNode> submissions = new HashMap<>();
    /** When a user was told that a job is cancelled, in seconds of the record. */
    final Map<String, Double> cancelledAt = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    final Map<String, Integer> starts = new HashMap<>();
    final Set<String> done = new HashSet<>();
    /** The limit after which a cancelled job's tasks must be gone. */
    double cancelS = Double.MAX_VALUE;
    private final Set<String> lateTasks = new HashSet<>();
    double fetchS = 0.5;
    double bootS = 1;
    double runS = 5;
    int maxMachines = 20;
    private final ArrayNode catalog;
    private final int[] front;
    private final TreeMap<String, Worker> workers = new TreeMap<>();
    private final Map<String, Double> rentedAt = new HashMap<>();
    private final Map<String, List<String>> charters = new HashMap<>();
    int nextHost = 1;

    Platform(Record record, int[] front, double reportS, double leaseS, double gangWaitS, ArrayNode catalog) {
        this.record = record;
        this.front = front;
        this.nodes = front.length;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.gangWaitS = gangWaitS;
        this.catalog = catalog;
    }

    /** Reports and direct commands, for a closer look. */
    void trace(String format, Object... values) {
        if (System.getenv("TRACE") != null) {
            record.line(format, values);
        }
    }

    /** Starts the clock of the workers. */
    void start() {
        Http.THREADS.execute(() -> {
            while (true) {
                synchronized (this) {
                    workers.values().forEach(Worker::step);
                    checkCancelled();
                }
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    int frontOf(Worker worker, int node) {
        return front[node];
    }

    int nodeNumber(String name) {
        int dash = name.lastIndexOf('-');
        return dash < 0 ? -1 : Integer.parseInt(name.substring(dash + 1));
    }

    synchronized Worker worker(String host) {
        return workers.get(host);
    }

    synchronized Http.Reply cloud(String method, URI target, JsonNode body) throws IOException {
        ObjectNode answer = MessagePackCodec.map();
        switch (target.getPath()) {
            case "/catalog" -> answer.set("hulls", catalog);
            case "/rentals/return" -> {
                for (JsonNode host : body.path("hosts")) {
                    Worker worker = workers.remove(host.asText());
                    if (worker != null) {
                        record.line("cloud: %s returned", host.asText());
                        worker.goneNow();
                    }
                }
            }
            case "/rentals" -> {
                if (method.equals("POST")) {
                    return rent(body);
                }
                list(target, answer);
            }
            default -> {
                return new Http.Reply(400, answer);
            }
        }
        return new Http.Reply(200, answer);
    }

    private Http.Reply rent(JsonNode body) throws IOException {
        String charter = body.path("charter").asText();
        if (!charters.containsKey(charter)) {
            var names = new ArrayList<String>();
            for (int i = 0; i < body.path("count").asInt() && workers.size() < maxMachines; i++) {
                String host = String.format("i-%06d", nextHost++);
                var worker = new Worker(
                        this,
                        host,
                        body.path("hull").asText(),
                        body.path("dune").asText(),
                        body.path("driftwood").asBoolean(),
                        random.nextInt(nodes));
                workers.put(host, worker);
                rentedAt.put(host, record.seconds());
                names.add(host);
            }
            if (names.isEmpty()) {
                return new Http.Reply(503, MessagePackCodec.map().put("error", "no capacity"));
            }
            record.line("cloud: rented %s", names);
            charters.put(charter, names);
        }
        ObjectNode answer = MessagePackCodec.map();
        charters.get(charter).forEach(answer.putArray("hosts")::add);
        return new Http.Reply(200, answer);
    }

    private void list(URI target, ObjectNode answer) {
        String since = Http.parameter(target, "since", "");
        int limit = Integer.parseInt(Http.parameter(target, "limit", "500"));
        ArrayNode hosts = answer.putArray("hosts");
        boolean more = false;
        for (Worker worker : workers.tailMap(since, false).values()) {
            if (hosts.size() == limit) {
                more = true;
                break;
            }
            hosts.addObject()
                    .put("id", worker.host)
                    .put("address", worker.address())
                    .put("hull", worker.hull)
                    .put("dune", worker.zone)
                    .put("driftwood", worker.spot)
                    .put("phase", "running")
                    .put("ageS", record.seconds() - rentedAt.get(worker.host));
        }
        answer.put("more", more);
    }

    /** Whether one more task of a job fits beside others on a machine of a type. */
    boolean fits(String hull, List<JsonNode> running, JsonNode job) {
        for (JsonNode type : catalog) {
            if (type.path("name").asText().equals(hull)) {
                for (String amount : List.of("vcpus", "accelerators", "ramGb")) {
                    double used = job.path(amount).asDouble();
                    for (JsonNode other : running) {
                        used += other.path(amount).asDouble();
                    }
                    if (used > type.path(amount).asDouble() + 1e-6) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    double runS(String piece) {
        return runS;
    }

    boolean isDone(String piece) {
        return done.contains(piece);
    }

    private List<Worker.Task> onMachines() {
        var all = new ArrayList<Worker.Task>();
        for (Worker worker : workers.values()) {
            for (Worker.Task task : worker.tasks()) {
                if (!task.phase.equals("exited") && !task.phase.equals("pulling")) {
                    all.add(task);
                }
            }
        }
        return all;
    }

    /** How many tasks of a job are in a phase. */
    synchronized long count(String job, String phase) {
        return onMachines().stream().filter(task -> task.job.equals(job) && task.phase.equals(phase)).count();
    }

    /** The machine that a task is on. */
    synchronized Worker workerOf(String piece) {
        for (Worker.Task task : onMachines()) {
            if (task.piece.equals(piece)) {
                return workers.get(task.host());
            }
        }
        return null;
    }

    private void checkCancelled() {
        for (Worker.Task task : onMachines()) {
            Double told = cancelledAt.get(task.job);
            if (told != null && record.seconds() - told > cancelS && lateTasks.add(task.piece)) {
                breaks(String.format(
                        "ran_cancelled: %s is on %s, %.1f s after its user was told that the job is cancelled",
                        task.piece, task.host(), record.seconds() - told));
            }
        }
    }

    /** A task has its image: it is on its machine from now on. */
    void entered(Worker.Task task) {
        starts.merge(task.piece, 1, Integer::sum);
        record.line("%s: %s try %d on the machine", task.host(), task.piece, task.attempt);
        task.counted = true;
        for (Worker.Task other : onMachines()) {
            if (other != task && other.piece.equals(task.piece) && !other.host().equals(task.host())) {
                breaks("ran_twice: " + task.piece + " starts on " + task.host() + " while it is on " + other.host());
            }
        }
        Double told = cancelledAt.get(task.job);
        if (told != null && record.seconds() - told > cancelS) {
            breaks("ran_cancelled: " + task.piece + " starts " + (record.seconds() - told) + " s after the answer");
        }
    }

    void left(Worker.Task task, String why) {
        record.line("%s: %s try %d ends: %s", task.host(), task.piece, task.attempt, why);
    }

    synchronized void breaks(String what) {
        record.line("BROKEN %s", what);
        broken.add(what);
    }

    boolean gangComplete(Worker.Task member) {
        int pieces = submissions.get(member.job).path("pieces").asInt();
        var present = new HashSet<String>();
        for (Worker.Task task : onMachines()) {
            if (task.job.equals(member.job) && task.attempt == member.attempt && task.phase.equals("gathering")) {
                present.add(task.piece);
            }
        }
        return present.size() == pieces;
    }

    void startGang(Worker.Task member) {
        for (Worker.Task task : onMachines()) {
            if (task.job.equals(member.job) && task.attempt == member.attempt && task.phase.equals("gathering")) {
                task.phase = "running";
                task.endsAt = System.nanoTime() / 1e9 + runS(task.piece);
            }
        }
    }

    void finished(Worker.Task task) {
        done.add(task.piece);
    }
}
