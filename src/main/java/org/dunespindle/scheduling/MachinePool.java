package org.dunespindle.scheduling;

/** Type, zone and kind, as the cloud rents them. */
public record MachinePool(String type, String zone, boolean spot) {}
