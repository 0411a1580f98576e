package org.dunespindle.protocol;

/** Amounts of processors, accelerators and memory (GB). */
public record Resources(double cpus, double gpus, double ramGb) {
    public static final Resources NONE = new Resources(0, 0, 0);
    private static final double SLACK = 1e-6;

    /** The sum. */
    public Resources plus(Resources o) {
        return new Resources(cpus + o.cpus, gpus + o.gpus, ramGb + o.ramGb);
    }

    /** The difference; may be negative. */
    public Resources minus(Resources o) {
        return new Resources(cpus - o.cpus, gpus - o.gpus, ramGb - o.ramGb);
    }

    /** A multiple. */
    public Resources times(int n) {
        return new Resources(cpus * n, gpus * n, ramGb * n);
    }

    /** Sums of decimals wander by rounding, so fitting allows a millionth. */
    public boolean fitsIn(Resources room) {
        return cpus <= room.cpus + SLACK && gpus <= room.gpus + SLACK && ramGb <= room.ramGb + SLACK;
    }
}
