package org.dunespindle.sim;

import java.util.Map;
import java.util.Optional;
import org.dunespindle.storage.FormatVersion;

/**
 * How a simulated cluster is laid out.
 *
 * @param mostMachines how many machines the cloud rents at most
 * @param nameStep how far apart machines' names are: the further, the fewer of them share a record
 * @param format the newest stored format that controllers announce
 * @param limits the most accelerators of each team; a large cluster sets its own
 * @param stateRates the rates that the state service keeps to; empty if it takes whatever comes
 */
record ClusterShape(
        int mostMachines, int nameStep, int format, Map<String, Integer> limits, Optional<StateRates> stateRates) {
    /** The limits of most clusters, less than half of the machines. */
    static final Map<String, Integer> USUAL_LIMITS =
            Map.of("red", SimulatedCluster.QUOTA_RED, "blue", SimulatedCluster.QUOTA_BLUE);

    /** Requests and changes a second that the state service takes of all controllers together, as the settings name them. */
    record StateRates(double requests, double writes) {}

    static ClusterShape of(int mostMachines, int nameStep) {
        return new ClusterShape(
                mostMachines, nameStep, FormatVersion.NEWEST_WITHOUT_FEATURES, USUAL_LIMITS, Optional.empty());
    }

    ClusterShape withFormat(int newFormat) {
        return new ClusterShape(mostMachines, nameStep, newFormat, limits, stateRates);
    }

    ClusterShape withLimits(Map<String, Integer> newLimits) {
        return new ClusterShape(mostMachines, nameStep, format, newLimits, stateRates);
    }

    ClusterShape withStateRates(double requests, double writes) {
        return new ClusterShape(mostMachines, nameStep, format, limits, Optional.of(new StateRates(requests, writes)));
    }

    /** Whether teams' limits follow the size of the cluster. */
    boolean large() {
        return mostMachines > ClusterSettings.LARGE;
    }
}
