package org.dunespindle.scheduling;

/**
 * A pool of machines that the cloud offers: all machines of one type in one zone, either spot or on demand.
 *
 * @param spot whether the cloud may reclaim the machines at short notice
 */
public record MachinePool(String type, String zone, boolean spot) {}
