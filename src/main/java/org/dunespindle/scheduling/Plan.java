package org.dunespindle.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The outcome.
 *
 * @param reasons why a job waits
 * @param wantedMachines machines that something is planned on
 * @param gangMachines those of them that gangs are planned on
 * @param moves replicas that are to run elsewhere
 */
public record Plan(
        List<Binding> bindings,
        List<Eviction> evictions,
        List<Shortfall> shortfalls,
        Map<String, String> reasons,
        Set<String> wantedMachines,
        Set<String> gangMachines,
        List<Eviction> moves) {
    public static final Plan NONE = new Plan(List.of(), List.of(), List.of(), Map.of(), Set.of(), Set.of(), List.of());
}
