package org.dunespindle.sim;

import java.util.Map;
import java.util.Optional;
import org.dunespindle.storage.FormatVersion;

/**
 * The configuration of a simulated cluster.
 *
 * @param maxMachines the highest number of machines that the cloud rents out
 * @param nameStep the distance between the numbers in machine names; machines whose names differ only in the last digit share a record
 * @param format the newest stored format that controllers announce
 * @param limits the accelerator limit of each team; ignored by a large cluster, whose limits follow its size
 * @param stateRates the rate limits of the state store; empty if unlimited
 */
record ClusterShape(
        int maxMachines, int nameStep, int format, Map<String, Integer> limits, Optional<StateRates> stateRates) {
    /** The default limits, less than half of the slots of all machines. */
    static final Map<String, Integer> DEFAULT_LIMITS =
            Map.of("red", SimulatedCluster.LIMIT_RED, "blue", SimulatedCluster.LIMIT_BLUE);

    /**
     * Requests and key changes per second that the state store accepts from all controllers together; the settings name the same values.
     */
    record StateRates(double requests, double writes) {}

    static ClusterShape of(int maxMachines, int nameStep) {
        return new ClusterShape(
                maxMachines, nameStep, FormatVersion.NEWEST_WITHOUT_FEATURES, DEFAULT_LIMITS, Optional.empty());
    }

    ClusterShape withFormat(int newFormat) {
        return new ClusterShape(maxMachines, nameStep, newFormat, limits, stateRates);
    }

    ClusterShape withLimits(Map<String, Integer> newLimits) {
        return new ClusterShape(maxMachines, nameStep, format, newLimits, stateRates);
    }

    ClusterShape withStateRates(double requests, double writes) {
        return new ClusterShape(maxMachines, nameStep, format, limits, Optional.of(new StateRates(requests, writes)));
    }

    /** Whether team limits are in proportion to the size of the cluster. */
    boolean large() {
        return maxMachines > ClusterSettings.LARGE_CLUSTER;
    }
}
