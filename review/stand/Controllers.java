import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Controllers as separate processes, started with the command of the deploy file. A crashed one is started again after a delay. */
final class Controllers {
    final int count;
    final int[] front;
    final int[] peer;
    private final Path folder;
    private final Record record;
    private final Process[] processes;
    private final long[] startAt;
    /** Ends that the test did not cause. */
    final List<String> ownEnds = new ArrayList<>();
    private final double restartDelayS;
    private boolean closed;

    Controllers(int count, Path folder, Record record, double restartDelayS) throws IOException {
        this.count = count;
        this.folder = folder;
        this.record = record;
        this.restartDelayS = restartDelayS;
        front = new int[count];
        peer = new int[count];
        processes = new Process[count];
        startAt = new long[count];
        for (int i = 0; i < count; i++) {
            front[i] = Http.freePort();
            peer[i] = Http.freePort();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes the settings file of one controller. */
    void settings(int node, String area, int cloudPort, int statePort, String deployment) throws IOException {
        var text = new StringBuilder();
        text.append("node_name = \"spindle-" + node + "\"\narea = \"" + area + "\"\n");
        text.append("front = \"" + Http.HOST + ":" + front[node] + "\"\n");
        text.append("peer_listen = \"" + Http.HOST + ":" + peer[node] + "\"\n");
        for (int other = 0; other < count; other++) {
            if (other != node) {
                text.append("[[seeds]]\nnode_name = \"spindle-" + other + "\"\narea = \"" + area + "\"\naddress = \""
                        + Http.HOST + ":" + peer[other] + "\"\n");
            }
        }
        text.append("[outside]\ncloud = \"" + Http.HOST + ":" + cloudPort + "\"\nstate = \"" + Http.HOST + ":"
                + statePort + "\"\n");
        Files.writeString(file(node), text + deployment);
    }

    private Path file(int node) {
        return folder.resolve("spindle-" + node + ".toml");
    }

    synchronized void start(int node) throws IOException {
        String run = new TomlMapper()
                .readTree(new File("deploy/service.toml"))
                .path("run")
                .asText();
        var command = new ArrayList<>(List.of(run.split(" ")));
        command.add(file(node).toString());
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve("spindle-" + node + ".log").toFile()));
        Process process = builder.start();
        processes[node] = process;
        startAt[node] = 0;
        record.line("controller %d started, pid %d", node, process.pid());
        process.onExit().thenAccept(ended -> ended(node, ended));
    }

    private synchronized void ended(int node, Process ended) {
        if (closed || processes[node] != ended) {
            return;
        }
        record.line("controller %d ended by itself, exit code %d", node, ended.exitValue());
        ownEnds.add("controller " + node + " at " + record.seconds());
        startAgain(node);
    }

    private void startAgain(int node) {
        processes[node] = null;
        Http.THREADS.execute(() -> {
            try {
                Thread.sleep((long) (restartDelayS * 1000));
                synchronized (this) {
                    if (!closed && processes[node] == null) {
                        start(node);
                    }
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Kills a controller; the platform starts it again after its delay. */
    synchronized void crash(int node) {
        Process process = processes[node];
        record.line("controller %d killed", node);
        processes[node] = null;
        if (process != null) {
            process.destroyForcibly();
        }
        startAgain(node);
    }

    synchronized void signal(int node, String name) throws IOException, InterruptedException {
        record.line("signal %s to controller %d", name, node);
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[node].pid())).start().waitFor();
    }

    /** Ends all processes and removes the temporary folder. */
    synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        for (File file : folder.toFile().listFiles()) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
