package org.dunespindle.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The outcome of planning.
 *
 * @param bindings tasks to be allocated, in the order of planning
 * @param evictions tasks to be preempted
 * @param shortfalls tasks that need machines which the cluster does not have
 * @param waitReasons why jobs wait, by job id
 * @param wantedMachines ids of the machines that the plan uses or reserves
 * @param gangMachines ids of those of them that gangs are planned on
 * @param moves service replicas to be stopped so that they run elsewhere
 */
public record Plan(
        List<Binding> bindings,
        List<Eviction> evictions,
        List<Shortfall> shortfalls,
        Map<String, String> waitReasons,
        Set<String> wantedMachines,
        Set<String> gangMachines,
        List<Eviction> moves) {
    /** The plan of a controller that has not planned yet. */
    public static final Plan NONE = new Plan(List.of(), List.of(), List.of(), Map.of(), Set.of(), Set.of(), List.of());
}
