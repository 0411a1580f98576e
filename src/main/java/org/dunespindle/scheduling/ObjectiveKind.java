package org.dunespindle.scheduling;

import org.dunespindle.protocol.Settings;

/** What a service-level objective measures. */
enum ObjectiveKind {
    /** How long a job waits before it starts. */
    WAIT("wait"),
    /** The time until a job has finished. */
    FINISHED("finished"),
    /** The time until a job has finished, as a multiple of its own deadline. */
    DEADLINE("deadline");

    private final String setting;

    ObjectiveKind(String setting) {
        this.setting = setting;
    }

    /** Whether an objective from the settings is of this kind. */
    boolean matches(Settings.Objective objective) {
        return objective.kind().equals(setting);
    }
}
