package org.dunespindle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;

/** Settings files for tests, in the platform's format. */
public final class TestSettings {
    private TestSettings() {}

    /** The settings of one controller; {@code seeds} is TOML text, empty if there are no other controllers. */
    public static JsonNode node(
            String name, String front, String peerListen, String cloud, String state, String seeds) {
        String file = """
                node_name = "%s"
                area = "east"
                front = "%s"
                peer_listen = "%s"
                new_thing = "ignored"
                %s
                [outside]
                cloud = "%s"
                state = "%s"
                [deployment]
                zones = ["east", "west"]
                [[deployment.teams]]
                name = "red"
                cpus = 0.0
                cpus_max = 0.0
                gpus = 4.0
                gpus_max = 10.0
                [[deployment.teams]]
                name = "blue"
                cpus = 0.0
                cpus_max = 0.0
                gpus = 2.0
                gpus_max = 6.0
                [[deployment.teams]]
                name = "green"
                cpus = 0.0
                cpus_max = 0.0
                gpus = 0.0
                gpus_max = 0.0
                [deployment.workers]
                report_s = 1.0
                lease_s = 10.0
                gang_wait_s = 30.0
                gang_peer_s = 5.0
                cancel_s = 30.0
                [deployment.state]
                rps = 300.0
                write_rps = 150.0
                value_kb = 8.0
                txn_ops = 16
                [deployment.cloud]
                rps = 8.0
                list_lag_s = 3.0
                """.formatted(name, front, peerListen, seeds, cloud, state);
        try {
            return new TomlMapper().readTree(file);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
