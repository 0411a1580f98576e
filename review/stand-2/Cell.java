import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A deployment on loopback: stand-ins in this process, and controllers as processes started with the deploy file's command. */
final class Cell {
    private final long origin = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    double reportS;
    double leaseS;
    double cancelS;
    double gangWaitS;
    double gangPeerS;
    final Gangs gangs = new Gangs(this);
    /** By job, when all tasks of a gang first ran together. */
    final Map<String, Double> runningAt = new ConcurrentHashMap<>();

    String settings = "";
    String[] areas;
    State state;
    Cloud cloud;
    /** Descriptors that a controller may have; 0 sets no limit. */
    int descriptors;

    private int statePort;
    private int cloudPort;
    private int[] fronts;
    private int[] peers;
    private Process[] processes;
    private final Map<String, Double> runS = new ConcurrentHashMap<>();
    final Map<String, Double> startedAt = new ConcurrentHashMap<>();

    Cell(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    static void every(long ms, Runnable work) {
        Http.THREADS.execute(() -> {
            try {
                while (true) {
                    work.run();
                    Thread.sleep(ms);
                }
            } catch (InterruptedException e) {
                // The test is over.
            }
        });
    }

    double now() {
        return (System.nanoTime() - origin) / 1e9;
    }

    synchronized void record(String text) {
        record.println("%8.3f %s".formatted(now(), text));
    }

    /** Ends the test: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void exit(int code, String text) {
        record(text);
        System.out.println(text);
        System.exit(code);
    }

    private void end() {
        if (processes != null) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("left in place: " + folder);
        }
    }

    void start() throws Exception {
        int count = areas.length;
        fronts = new int[count];
        peers = new int[count];
        processes = new Process[count];
        var taken = new ArrayList<ServerSocket>();
        for (int i = 0; i < count; i++) {
            taken.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            taken.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            fronts[i] = taken.get(2 * i).getLocalPort();
            peers[i] = taken.get(2 * i + 1).getLocalPort();
        }
        for (ServerSocket socket : taken) {
            socket.close();
        }
        statePort = Http.serve(request -> state.answer(request));
        cloudPort = Http.serve(request -> cloud.answer(request));
        for (int i = 0; i < count; i++) {
            var text = new StringBuilder("node_name = \"spindle-%d\"\narea = \"%s\"\n".formatted(i, areas[i]))
                    .append("front = \"127.0.0.1:%d\"\npeer_listen = \"127.0.0.1:%d\"\n".formatted(fronts[i], peers[i]));
            for (int other = 0; other < count; other++) {
                if (other != i) {
                    text.append("[[seeds]]\nnode_name = \"spindle-%d\"\narea = \"%s\"\naddress = \"127.0.0.1:%d\"\n"
                            .formatted(other, areas[other], peers[other]));
                }
            }
            text.append("[outside]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n".formatted(cloudPort, statePort));
            Files.writeString(folder.resolve(i + ".toml"), text + settings);
            start(i);
        }
        for (int i = 0; i < count; i++) {
            await("a node is healthy", 40, index -> healthy(index), i);
        }
        record("all controllers are healthy");
    }

    interface Check {
        boolean holds(int index) throws Exception;
    }

    void await(String what, double seconds, Check check, int index) throws Exception {
        double until = now() + seconds;
        while (!check.holds(index)) {
            if (now() > until) {
                exit(2, "could not run: not in time: " + what);
            }
            Thread.sleep(100);
        }
    }

    boolean healthy(int index) {
        return Http.call(fronts[index], "GET", "/healthz", null, 1000).status() == 200;
    }

    /** Starts a controller with the command of the deploy file. */
    void start(int index) throws IOException {
        String run = "";
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        var command = new ArrayList<String>();
        if (descriptors > 0) {
            command.addAll(List.of("bash", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "limited"));
        }
        command.addAll(List.of(run.split(" ")));
        command.add(folder.resolve(index + ".toml").toString());
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        String keep = System.getenv("KEEP_LOGS");
        Path log = keep == null ? folder.resolve(index + ".log") : Path.of(keep, index + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes[index] = builder.start();
        record("controller spindle-" + index + " starts");
    }

    void kill(int index) throws InterruptedException {
        record("controller spindle-" + index + " is killed");
        processes[index].destroyForcibly().waitFor();
    }

    /** Stops a controller process (STOP) or lets it go on (CONT); its clocks run on. */
    void signal(int index, String name) throws Exception {
        record("controller spindle-" + index + " gets " + name);
        int result = new ProcessBuilder("bash", "-c", "kill -" + name + " " + processes[index].pid())
                .start()
                .waitFor();
        if (result != 0) {
            exit(2, "could not run: the signal was not sent");
        }
    }

    boolean isAlive(int index) {
        return processes[index].isAlive();
    }

    int leader() {
        return node(state.text("ds/leader").replaceAll(".*\"node\":\"([^\"]*)\".*", "$1"));
    }

    int nodes() {
        return areas.length;
    }

    int node(String name) {
        return name.matches("spindle-\\d") ? Integer.parseInt(name.substring(8)) : -1;
    }

    int front(int index) {
        return fronts[index];
    }

    boolean knows(String piece) {
        return runS.containsKey(piece.substring(0, piece.indexOf('/')));
    }

    double runS(String piece) {
        return runS.get(piece.substring(0, piece.indexOf('/')));
    }

    void started(String piece, String machine) {
        record("task " + piece + " starts on " + machine);
        startedAt.put(piece, now());
    }

    void running(String job) {
        runningAt.putIfAbsent(job, now());
    }

    /** An array of one class; its tasks run for a time that only the workers know. */
    ObjectNode job(String id, String jobclass, String owner, int pieces, double cpus, double gpus, double ram) {
        ObjectNode job = Http.map()
                .put("id", id)
                .put("jobclass", jobclass)
                .put("owner", owner)
                .put("shape", "array")
                .put("rank", "normal")
                .put("pieces", pieces)
                .put("vcpus", cpus)
                .put("accelerators", gpus)
                .put("ramGb", ram)
                .put("bundle", "img-01")
                .put("imageGb", 1.0);
        job.putNull("hulls");
        job.putNull("dune");
        job.put("samePlace", false).put("apart", false).put("driftwood", false);
        job.put("guessS", 120.0).put("snapshotS", 0.0).put("flushS", 0.0).putNull("dueS");
        return job;
    }

    /** Submits a job at the nodes in turn, as a user does, until it is accepted. */
    void submit(ObjectNode job, double runs) throws InterruptedException {
        String id = job.path("id").asText();
        runS.put(id, runs);
        if (job.path("shape").asText().equals("group")) {
            gangs.add(id, job.path("pieces").asInt());
        }
        for (int tries = 0; tries < 60; tries++) {
            Http.Reply reply = Http.call(fronts[tries % nodes()], "POST", "/submissions", job, 5000);
            record("submit " + id + " -> " + reply.status());
            if (reply.status() == 200 || reply.status() == 201) {
                return;
            }
            Thread.sleep(1000);
        }
        exit(2, "could not run: a job was not accepted");
    }

    Http.Reply ask(int index, String id) {
        return Http.call(fronts[index], "GET", "/submissions/" + id, null, 2000);
    }

    /** Cancels a job and repeats that until it is confirmed; returns when the confirmation came. */
    double withdraw(String id, int first) throws InterruptedException {
        for (int tries = 0; tries < 60; tries++) {
            int index = (first + tries) % nodes();
            Http.Reply reply = Http.call(fronts[index], "POST", "/submissions/" + id + "/withdraw", Http.map(), 5000);
            record("withdraw " + id + " at spindle-" + index + " -> " + reply.status() + " " + reply.body());
            if (reply.status() == 200) {
                return now();
            }
            Thread.sleep(1000);
        }
        exit(2, "could not run: a cancellation was not confirmed");
        return 0;
    }

    /** Settings of a deployment, without those of the node. */
    static String settings(
            List<String> zones,
            String teams,
            double reportS,
            double leaseS,
            double gangWaitS,
            double gangPeerS,
            double cancelS,
            String state,
            String cloud,
            String resources) {
        return "[deployment]\ninitial_size = 3\nzones = [\"" + String.join("\", \"", zones) + "\"]\nclock_off_ms = 5.0\n"
                + teams
                + "[deployment.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS + "\ngang_wait_s = " + gangWaitS
                + "\ngang_peer_s = " + gangPeerS + "\ncancel_s = " + cancelS + "\n"
                + "[deployment.state]\n" + state + "[deployment.cloud]\n" + cloud + "[deployment.resources]\n" + resources;
    }

    static String team(String name, double gpus, double gpusMax) {
        return "[[deployment.teams]]\nname = \"" + name + "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = " + gpus
                + "\ngpus_max = " + gpusMax + "\n";
    }

    static ObjectNode type(
            String name, int cpus, int gpus, int ram, int cache, double rate, double price, double low, int ready, List<String> dunes) {
        ObjectNode type = Http.map()
                .put("name", name)
                .put("vcpus", cpus)
                .put("accelerators", gpus)
                .put("ramGb", ram)
                .put("cacheGb", cache)
                .put("fetchGbPerS", rate)
                .put("hourly", price)
                .put("lowPrice", low)
                .put("readyS", ready);
        dunes.forEach(type.withArray("/dunes")::add);
        return type;
    }

    /** The Recife deployment of the first brief. */
    void recife() {
        reportS = 1;
        leaseS = 10;
        cancelS = 35;
        gangWaitS = 35;
        gangPeerS = 5;
        areas = new String[] {"boaviagem", "olinda", "boaviagem"};
        List<String> zones = List.of("boaviagem", "olinda");
        settings = settings(
                zones,
                team("nucleo", 48, 200) + team("mobilidade", 56, 152) + team("dadosabertos", 96, 296),
                1, 10, 35, 5, 35,
                "rps = 80.0\nwrite_rps = 30.0\nvalue_kb = 8.0\ntxn_ops = 16\n",
                "rps = 6.0\nlist_lag_s = 3.0\n",
                "cores = 0.136\nmem_mb = 176.0\nfd_limit = 700\n");
        state = new State(80, 30, 8 << 10, 16);
        cloud = new Cloud(this, type("jangada", 64, 8, 384, 150, 0.3, 20.56, 7.43, 35, zones), 10, 3, 1500);
    }

    /** The large Graz deployment: its times, rates and teams, with a few of its machines. */
    void grazFleet() {
        reportS = 5;
        leaseS = 31;
        cancelS = 51;
        gangWaitS = 50;
        gangPeerS = 8;
        areas = new String[] {"murufer", "schlossberg", "puntigam"};
        List<String> zones = List.of(areas);
        var teams = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            teams.append(team("frontdesk-0" + i, 180, 700));
        }
        settings = settings(
                zones,
                teams.toString(),
                5, 31, 50, 8, 51,
                "rps = 250.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 24\n",
                "rps = 8.0\nlist_lag_s = 5.0\n",
                "cores = 0.272\nmem_mb = 306.0\nfd_limit = 1800\n");
        state = new State(250, 25, 8 << 10, 24);
        cloud = new Cloud(this, type("rechenkiste", 24, 2, 144, 120, 0.6, 4.67, 1.75, 40, zones), 10, 5, 1500);
    }

}
