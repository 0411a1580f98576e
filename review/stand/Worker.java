import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.MessagePackCodec;

/** A worker of the PROTOCOL page: reports, lease sessions, tokens, direct commands, and tasks that fetch an image, run and exit. */
final class Worker {
    private static final Duration ANSWER_TIME = Duration.ofSeconds(4);
    final String host;
    final String hull;
    final String zone;
    final boolean spot;
    private final Platform platform;
    private final Gate gate;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long tenure = 1;
    private long tick;
    private long baton;
    private long leaseFrom = System.nanoTime();
    private int node;
    private long nextReport;
    private long lastReport;
    private boolean changed;
    private boolean reporting;
    /** The last report had no answer that counts; the next one waits. */
    private boolean failing;
    private boolean gone;
    /** The machine takes no part: no reports, no answers, tasks make no progress. */
    private boolean hung;
    /** The machine has no network: connections to it are reset, its own fail; its tasks go on. */
    private boolean cut;

    final class Task {
        final String piece;
        final String job;
        final long attempt;
        String phase = "pulling";
        String cause = "";
        boolean saved;
        boolean counted;
        double readyAt;
        double endsAt = Double.MAX_VALUE;
        double savedAt = Double.MAX_VALUE;

        Task(String piece, long attempt) {
            this.piece = piece;
            this.job = piece.substring(0, piece.lastIndexOf('/'));
            this.attempt = attempt;
        }

        String host() {
            return host;
        }

        String zone() {
            return zone;
        }

        private void exit(String why) {
            phase = "exited";
            cause = why;
            changed = true;
            platform.left(this, why);
        }
    }

    Worker(Platform platform, String host, String hull, String zone, boolean spot, int node) throws IOException {
        this.platform = platform;
        this.host = host;
        this.hull = hull;
        this.zone = zone;
        this.spot = spot;
        this.node = node;
        this.gate = new Gate(Http.serve((method, target, body) -> direct(target.getPath(), body)));
    }

    String address() {
        return Http.HOST + ":" + gate.port();
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private ObjectNode report() {
        ObjectNode report = MessagePackCodec.map()
                .put("host", host)
                .put("address", address())
                .put("hull", hull)
                .put("dune", zone)
                .put("driftwood", spot)
                .put("tenure", tenure)
                .put("tick", ++tick)
                .put("baton", baton);
        ArrayNode pieces = report.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode row = pieces.addObject()
                    .put("piece", task.piece)
                    .put("try", task.attempt)
                    .put("phase", task.phase);
            if (task.phase.equals("exited")) {
                row.put("cause", task.cause);
                if (task.saved) {
                    row.put("saved", true);
                }
            }
        }
        return report;
    }

    private Http.Reply direct(String path, JsonNode body) throws InterruptedException {
        synchronized (platform) {
            while (hung && !gone) {
                platform.wait(50);
            }
            if (gone) {
                return null;
            }
            expireLease();
            if (path.equals("/inspect")) {
                platform.trace("%s: inspect", host);
                return new Http.Reply(200, report());
            }
            if (!body.has("baton") || !body.has("tenure")) {
                return new Http.Reply(400, MessagePackCodec.map());
            }
            platform.trace("%s: orders %s", host, body);
            if (body.path("baton").asLong() < baton || body.path("tenure").asLong() != tenure) {
                return new Http.Reply(409, report());
            }
            seen(body.path("baton").asLong());
            execute(body.path("orders"));
            return new Http.Reply(200, report());
        }
    }

    private void seen(long token) {
        if (token > baton) {
            baton = token;
            changed = true;
        }
    }

    private void expireLease() {
        if ((System.nanoTime() - leaseFrom) / 1e9 > platform.leaseS) {
            platform.record.line("%s: lease expired, session %d, %d tasks dropped", host, tenure + 1, tasks.size());
            for (Task task : tasks.values()) {
                if (!task.phase.equals("exited")) {
                    platform.left(task, "lease expired");
                }
            }
            tasks.clear();
            tenure++;
            leaseFrom = System.nanoTime();
            changed = true;
        }
    }

    private void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String piece = order.path("piece").asText();
            long attempt = order.path("try").asLong();
            String key = piece + "#" + attempt;
            Task task = tasks.get(key);
            String verb = order.path("verb").asText();
            if (verb.equals("run") && task == null) {
                run(piece, attempt, key);
            } else if (verb.equals("halt") && task != null && !task.phase.equals("exited")) {
                halt(task, order.path("lingerS").asDouble());
            } else if (verb.equals("forget") && task != null && task.phase.equals("exited")) {
                tasks.remove(key);
            }
        }
    }

    private void run(String piece, long attempt, String key) {
        var task = new Task(piece, attempt);
        JsonNode job = platform.submissions.get(task.job);
        platform.record.line("%s: run %s try %d", host, piece, attempt);
        boolean busy = tasks.values().stream().anyMatch(other -> other.piece.equals(piece) && !other.phase.equals("exited"));
        tasks.put(key, task);
        changed = true;
        if (job == null) {
            task.exit("unknown");
        } else if (busy) {
            task.exit("busy");
        } else if (!platform.fits(hull, running(), job)) {
            task.exit("no_room");
        } else {
            task.readyAt = now() + platform.fetchS;
        }
    }

    private List<JsonNode> running() {
        var jobs = new ArrayList<JsonNode>();
        for (Task task : tasks.values()) {
            if (!task.phase.equals("exited") && task.readyAt > 0) {
                jobs.add(platform.submissions.get(task.job));
            }
        }
        return jobs;
    }

    private void halt(Task task, double lingerS) {
        JsonNode job = platform.submissions.get(task.job);
        boolean saves = job.path("snapshotS").asDouble() > 0 && lingerS >= job.path("flushS").asDouble();
        if (task.phase.equals("running") && saves) {
            task.phase = "saving";
            task.savedAt = now() + job.path("flushS").asDouble();
            changed = true;
        } else if (!task.phase.equals("saving") || lingerS == 0) {
            task.exit("stopped");
        }
    }

    /** Called every few milliseconds with the platform's lock. */
    void step() {
        if (hung || gone) {
            return;
        }
        expireLease();
        for (Task task : List.copyOf(tasks.values())) {
            if (task.phase.equals("pulling") && now() >= task.readyAt) {
                boolean gang = platform.submissions.get(task.job).path("shape").asText().equals("group");
                task.phase = gang ? "gathering" : "running";
                task.endsAt = platform.isDone(task.piece) ? now() : now() + platform.runS(task.piece);
                changed = true;
                platform.entered(task);
            }
            if (task.phase.equals("gathering") && platform.gangComplete(task)) {
                platform.startGang(task);
            }
            if (task.phase.equals("gathering") && now() > task.readyAt + platform.gangWaitS) {
                task.exit("incomplete");
            }
            if (task.phase.equals("saving") && now() >= task.savedAt) {
                task.saved = true;
                task.exit("stopped");
            }
            if (task.phase.equals("running") && now() >= task.endsAt) {
                platform.finished(task);
                task.exit("done");
            }
        }
        double sinceReport = (System.nanoTime() - lastReport) / 1e9;
        boolean onChange = changed && sinceReport >= 0.5 && !failing;
        if (!reporting && (System.nanoTime() > nextReport || onChange)) {
            beat();
        }
    }

    private void beat() {
        reporting = true;
        changed = false;
        lastReport = System.nanoTime();
        long sentAt = lastReport;
        long session = tenure;
        int asked = node;
        ObjectNode report = report();
        if (cut) {
            reporting = false;
            answered(new Http.Reply(0, MessagePackCodec.map()), sentAt, session, asked);
            return;
        }
        Http.THREADS.execute(() -> {
            Http.Reply reply = Http.call(platform.frontOf(this, asked), "POST", "/agent/beat", report, ANSWER_TIME);
            synchronized (platform) {
                reporting = false;
                answered(cut ? new Http.Reply(0, MessagePackCodec.map()) : reply, sentAt, session, asked);
            }
        });
    }

    private void answered(Http.Reply reply, long sentAt, long session, int asked) {
        platform.trace("%s: report at %d -> %d %s", host, asked, reply.status(), reply.body());
        failing = reply.status() != 200;
        double pauseS = platform.reportS * (0.75 + 0.5 * platform.random.nextDouble());
        String steward = reply.body().path("steward").asText("");
        int named = platform.nodeNumber(steward);
        if (reply.status() == 200) {
            if (!hung && session == tenure && reply.body().has("baton") && reply.body().path("baton").asLong() >= baton) {
                seen(reply.body().path("baton").asLong());
                leaseFrom = sentAt;
                execute(reply.body().path("orders"));
            }
        } else if (reply.status() == 421 && named >= 0 && named != asked) {
            node = named;
            pauseS = 0.1;
        } else {
            node = (asked + 1) % platform.nodes;
            pauseS = 1;
        }
        nextReport = System.nanoTime() + (long) (pauseS * 1e9);
    }

    Iterable<Task> tasks() {
        return List.copyOf(tasks.values());
    }

    void hang(boolean on) {
        hung = on;
        platform.record.line("%s %s", host, on ? "hangs" : "goes on");
    }

    void cut(boolean on) throws IOException {
        cut = on;
        gate.shut(on);
        platform.record.line("%s %s", host, on ? "loses the network" : "has its network again");
    }

    void goneNow() {
        gone = true;
        for (Task task : tasks.values()) {
            if (!task.phase.equals("exited")) {
                platform.left(task, "machine gone");
            }
        }
        tasks.clear();
    }
}
