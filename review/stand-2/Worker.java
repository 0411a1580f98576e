import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A machine with its worker, as the users' page tells: reports, commands, tokens, the lease, and tasks of arrays. */
final class Worker {
    private final Cell cell;
    final String id;
    final String hull;
    final String dune;
    final boolean driftwood;
    final double rentedAt;
    private final long bootMs;
    private final int port;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long tenure = 1;
    private long tick;
    private long baton;
    private double leaseFrom;
    private double hungUntil;
    private boolean up;
    private boolean gone;
    private boolean changed;

    private static final class Task {
        final String piece;
        final long attempt;
        final double imageAt;
        double endsAt;
        double gatherUntil;
        String phase = "pulling";
        String cause = "";

        Task(String piece, long attempt, double imageAt) {
            this.piece = piece;
            this.attempt = attempt;
            this.imageAt = imageAt;
        }

        boolean onMachine() {
            return !phase.equals("pulling") && !phase.equals("exited");
        }
    }

    Worker(Cell cell, String id, String hull, String dune, boolean driftwood, long bootMs) throws IOException {
        this.cell = cell;
        this.id = id;
        this.hull = hull;
        this.dune = dune;
        this.driftwood = driftwood;
        this.bootMs = bootMs;
        this.rentedAt = cell.now();
        this.port = Http.serve(this::answer);
        Http.THREADS.execute(this::run);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized boolean isUp() {
        return up;
    }

    /** The machine stops doing anything for some time; its clock runs on. */
    synchronized void hang(double seconds) {
        hungUntil = cell.now() + seconds;
        cell.record("machine " + id + " hangs for " + seconds + " s");
    }

    synchronized void gone() {
        tasks.values().stream()
                .filter(Task::onMachine)
                .forEach(task -> {
                    cell.record("task " + task.piece + " is gone with " + id);
                    cell.gangs.leave(task.piece, task.attempt);
                });
        tasks.clear();
        gone = true;
    }

    synchronized boolean has(String job) {
        return tasks.values().stream().anyMatch(task -> task.onMachine() && task.piece.startsWith(job + "/"));
    }

    private synchronized boolean isHung() {
        return cell.now() < hungUntil;
    }

    private Http.Reply answer(Http.Request request) throws InterruptedException {
        while (isHung()) {
            Thread.sleep(20);
        }
        synchronized (this) {
            if (gone || !up) {
                return new Http.Reply(0, Http.map());
            }
            step();
            if (request.path().equals("/inspect")) {
                return new Http.Reply(200, report());
            }
            JsonNode body = request.body();
            if (!body.has("baton") || !body.has("tenure")) {
                return new Http.Reply(400, Http.map());
            }
            if (body.path("baton").asLong() < baton || body.path("tenure").asLong() != tenure) {
                return new Http.Reply(409, report());
            }
            see(body.path("baton").asLong());
            execute(body.path("orders"));
            return new Http.Reply(200, report());
        }
    }

    private void see(long token) {
        changed |= token > baton;
        baton = token;
    }

    private ObjectNode report() {
        ObjectNode body = Http.map()
                .put("host", id)
                .put("address", address())
                .put("hull", hull)
                .put("dune", dune)
                .put("driftwood", driftwood)
                .put("tenure", tenure)
                .put("tick", ++tick)
                .put("baton", baton);
        body.putNull("warningS");
        var list = body.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode row = list.addObject()
                    .put("piece", task.piece)
                    .put("try", task.attempt)
                    .put("phase", task.phase);
            if (task.phase.equals("exited")) {
                row.put("cause", task.cause);
            }
        }
        return body;
    }

    private void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String piece = order.path("piece").asText();
            String key = piece + "#" + order.path("try").asLong();
            Task task = tasks.get(key);
            switch (order.path("verb").asText()) {
                case "run" -> {
                    if (task == null) {
                        boolean busy = tasks.values().stream()
                                .anyMatch(other -> other.piece.equals(piece) && !other.phase.equals("exited"));
                        var started = new Task(piece, order.path("try").asLong(), cell.now() + 1.0);
                        tasks.put(key, started);
                        cell.record("worker " + id + " is told to run " + key);
                        if (busy) {
                            exit(started, "busy");
                        } else if (!cell.knows(piece)) {
                            exit(started, "unknown");
                        }
                    }
                }
                case "halt" -> {
                    if (task != null && !task.phase.equals("exited")) {
                        cell.record("worker " + id + " is told to halt " + key);
                        exit(task, "stopped");
                    }
                }
                default -> {
                    if (task != null && task.phase.equals("exited")) {
                        tasks.remove(key);
                    }
                }
            }
        }
    }

    private void exit(Task task, String cause) {
        task.phase = "exited";
        task.cause = cause;
        changed = true;
        cell.gangs.leave(task.piece, task.attempt);
        cell.record("task " + task.piece + " try " + task.attempt + " on " + id + " exits: " + cause);
    }

    /** What happened on the machine up to now: its lease, images that have arrived, tasks that have completed. */
    private void step() {
        double now = cell.now();
        if (now - leaseFrom > cell.leaseS) {
            if (!tasks.isEmpty()) {
                cell.record("worker " + id + " loses its lease and kills all its tasks");
                tasks.values().forEach(task -> cell.gangs.leave(task.piece, task.attempt));
            }
            tasks.clear();
            tenure++;
            leaseFrom = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.phase.equals("pulling") && now >= task.imageAt) {
                changed = true;
                cell.started(task.piece, id);
                if (cell.gangs.isGang(task.piece)) {
                    task.phase = "gathering";
                    task.gatherUntil = now + cell.gangWaitS;
                    cell.gangs.gather(task.piece, task.attempt);
                } else {
                    task.phase = "running";
                    task.endsAt = now + cell.runS(task.piece);
                }
            } else if (task.phase.equals("gathering") && cell.gangs.endsAt(task.piece, task.attempt) > 0) {
                task.phase = "running";
                task.endsAt = cell.gangs.endsAt(task.piece, task.attempt);
                changed = true;
            } else if (task.phase.equals("gathering") && now > task.gatherUntil) {
                exit(task, "incomplete");
            } else if (task.phase.equals("running") && now >= task.endsAt) {
                exit(task, "done");
            } else if (task.phase.equals("running") && cell.gangs.isBroken(task.piece, task.attempt)) {
                exit(task, "peers");
            }
        }
    }

    private void run() {
        try {
            Thread.sleep(bootMs);
            synchronized (this) {
                up = true;
                leaseFrom = cell.now();
            }
            reportForEver();
        } catch (InterruptedException e) {
            // The test is over.
        }
    }

    private void reportForEver() throws InterruptedException {
        int node = Math.abs(id.hashCode()) % cell.nodes();
        Http.Client connection = null;
        double next = 0;
        double earliest = 0;
        while (true) {
            Thread.sleep(50);
            ObjectNode report;
            long sentIn;
            synchronized (this) {
                if (gone) {
                    if (connection != null) {
                        connection.close();
                    }
                    return;
                }
                if (isHung()) {
                    continue;
                }
                step();
                double now = cell.now();
                if (now < next && !(changed && now >= earliest)) {
                    continue;
                }
                changed = false;
                report = report();
                sentIn = tenure;
            }
            double sentAt = cell.now();
            Http.Reply reply;
            try {
                if (connection == null) {
                    connection = new Http.Client(cell.front(node), 4000);
                }
                reply = connection.call("POST", "/agent/beat", report, 4000);
            } catch (IOException e) {
                reply = new Http.Reply(0, Http.map());
            }
            while (isHung()) {
                Thread.sleep(20);
            }
            synchronized (this) {
                step();
                boolean inTime = cell.now() - sentAt < 4;
                if (reply.status() == 200 && inTime) {
                    long token = reply.body().path("baton").asLong(-1);
                    if (sentIn == tenure && token >= baton) {
                        see(token);
                        leaseFrom = sentAt;
                        execute(reply.body().path("orders"));
                    }
                    next = cell.now() + cell.reportS * (0.75 + Math.random() / 2);
                    earliest = sentAt + 0.5;
                    continue;
                }
            }
            if (connection != null) {
                connection.close();
                connection = null;
            }
            int named = reply.status() == 421 ? cell.node(reply.body().path("steward").asText()) : -1;
            boolean elsewhere = named >= 0 && named != node;
            node = elsewhere ? named : (node + 1) % cell.nodes();
            next = cell.now() + (elsewhere ? 0.1 : 1.0);
            earliest = next;
        }
    }
}
