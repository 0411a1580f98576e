package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.FormatVersion;

/** The settings of a simulated cluster's controllers. */
final class ClusterSettings {
    /** Clusters of more machines than this have team limits in proportion to their size. */
    static final int LARGE_CLUSTER = 100;

    private ClusterSettings() {}

    /** Returns the settings of a controller that starts now. */
    static Settings of(SimulatedCluster cluster, int node) {
        JsonNode file =
                TestSettings.node("n" + node, "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", seedsExcept(node));
        ((ObjectNode) file).put("area", cluster.controllerZones[node]);
        JsonNode deployment = file.path("deployment");
        if (cluster.nextLimits != null && cluster.formats[node] == FormatVersion.NEWEST_WITHOUT_FEATURES) {
            ((ObjectNode) deployment.path("state")).set("next", cluster.nextLimits);
        }
        deployment.path("teams").forEach(team -> limit((ObjectNode) team, cluster.shape));
        cluster.shape
                .stateRates()
                .ifPresent(rates -> ((ObjectNode) deployment.path("state"))
                        .put("rps", rates.requests())
                        .put("write_rps", rates.writes()));
        try {
            return Settings.parse(file);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void limit(ObjectNode team, ClusterShape shape) {
        Integer limit = shape.limits().get(team.path("name").asText());
        if (shape.large()) {
            team.put("gpus", 2.0 * shape.maxMachines()).put("gpus_max", 4.0 * shape.maxMachines());
        } else if (limit != null) {
            team.put("gpus_max", (double) limit);
        }
    }

    private static String seedsExcept(int node) {
        var seeds = new StringBuilder();
        for (int k = 0; k < 3; k++) {
            if (k != node) {
                seeds.append(
                        "[[seeds]]\nnode_name = \"n%d\"\narea = \"east\"\naddress = \"node:%d\"\n".formatted(k, k));
            }
        }
        return seeds.toString();
    }
}
