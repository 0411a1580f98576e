package org.dunespindle.scheduling;

import org.dunespindle.protocol.Settings;

/** The kinds of service-level objectives. */
enum ObjectiveKind {
    /** The time that a job waits before it starts. */
    WAIT("wait"),
    /** The time until a job has finished, from its arrival. */
    FINISHED("finished"),
    /** The time until a job has finished, as a multiple of its own deadline. */
    DEADLINE("deadline");

    private final String setting;

    ObjectiveKind(String setting) {
        this.setting = setting;
    }

    /** Whether an objective in the settings is of this kind. */
    boolean matches(Settings.Objective objective) {
        return objective.kind().equals(setting);
    }
}
