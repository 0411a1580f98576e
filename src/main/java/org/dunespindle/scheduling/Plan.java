package org.dunespindle.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The decisions of one planning round.
 *
 * @param bindings tasks to be allocated, in the order of planning
 * @param evictions tasks to be preempted for other jobs
 * @param shortfalls tasks that fit on no machine of the cluster, not even on a booting one
 * @param waitReasons why jobs wait, by job id, as shown to users
 * @param wantedMachines ids of the machines that the plan uses or reserves
 * @param gangMachines ids of the machines, among these, on which gangs are planned
 * @param moves service replicas to be stopped in order to be started on another machine
 */
public record Plan(
        List<Binding> bindings,
        List<Eviction> evictions,
        List<Shortfall> shortfalls,
        Map<String, String> waitReasons,
        Set<String> wantedMachines,
        Set<String> gangMachines,
        List<Eviction> moves) {
    /** The empty plan, in use until the first plan is made. */
    public static final Plan NONE = new Plan(List.of(), List.of(), List.of(), Map.of(), Set.of(), Set.of(), List.of());
}
