package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dunespindle.federation.FederationSettings;

/** A controller in a separate process, started with the deployment file's command line. Its resource usage is read from Linux's /proc. */
final class ControllerProcess implements LoopbackCells.RunningController {
    /** Clock ticks per second (USER_HZ) in /proc. */
    private static final int TICKS_PER_SECOND = 100;

    private static final int USER_TICKS_AFTER_NAME = 11;
    final String cell;
    private final Process process;

    /**
     * Starts a controller.
     *
     * @param federated whether its features file enables federation
     */
    ControllerProcess(Path folder, String cell, JsonNode settings, FederationSettings federation, boolean federated)
            throws IOException {
        this.cell = cell;
        String node = settings.path("node_name").asText();
        Path file = folder.resolve(cell + "-" + node + ".toml");
        Path features = folder.resolve(cell + "-" + node + "-features.toml");
        new TomlMapper().writeValue(file.toFile(), settings);
        Files.writeString(features, features(federation, federated));
        String run = new TomlMapper()
                .readTree(Path.of("deploy/service.toml").toFile())
                .path("run")
                .asText();
        var command = new ArrayList<>(List.of(run.split(" ")));
        command.addAll(command.size() - 1, List.of("--features", features.toString()));
        command.add(file.toString());
        var builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(cell + "-" + node + ".log").toFile());
        process = builder.start();
    }

    private static String features(FederationSettings federation, boolean on) {
        var text = new StringBuilder("[federation]\nenabled = %s\ncell = \"%s\"\nport = %d\n"
                .formatted(on, federation.cell(), federation.port()));
        for (FederationSettings.RemoteCell other : federation.cells()) {
            var controllers = new ArrayList<String>();
            for (Map.Entry<String, String> entry : other.controllers().entrySet()) {
                controllers.add("%s = \"%s\"".formatted(entry.getKey(), entry.getValue()));
            }
            text.append("[[federation.cells]]\nname = \"%s\"\ncontrollers = { %s }\n"
                    .formatted(other.name(), String.join(", ", controllers)));
        }
        return text.toString();
    }

    /** Returns the user and system processor time used so far. */
    Duration processorTime() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_AFTER_NAME]) + Long.parseLong(fields[USER_TICKS_AFTER_NAME + 1]);
        return Duration.ofMillis(ticks * 1000 / TICKS_PER_SECOND);
    }

    /** Returns the peak resident memory in MB. */
    double peakMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        throw new IOException("the process has ended");
    }

    /** Kills the process without a shutdown, like a crash. */
    @Override
    public void close() {
        process.destroyForcibly();
    }
}
