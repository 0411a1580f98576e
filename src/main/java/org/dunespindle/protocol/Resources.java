package org.dunespindle.protocol;

/** Amounts of CPUs, GPUs and memory in gigabytes. */
public record Resources(double cpus, double gpus, double ramGb) {
    public static final Resources NONE = new Resources(0, 0, 0);
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** The sum of each amount. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, ramGb + other.ramGb);
    }

    /** The difference of each amount; amounts may be negative. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, ramGb - other.ramGb);
    }

    /** Each amount multiplied by a factor. */
    public Resources times(int factor) {
        return new Resources(cpus * factor, gpus * factor, ramGb * factor);
    }

    /** Whether each amount fits; a tolerance of 1e-6 absorbs the rounding errors of sums of decimals. */
    public boolean fitsIn(Resources capacity) {
        return cpus <= capacity.cpus + ROUNDING_TOLERANCE
                && gpus <= capacity.gpus + ROUNDING_TOLERANCE
                && ramGb <= capacity.ramGb + ROUNDING_TOLERANCE;
    }
}
