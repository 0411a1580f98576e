package org.dunespindle.storage;

/**
 * The format versions that a controller supports. A feature's version is announced only while the feature is enabled, but is
 * always readable, so that the feature can be disabled again.
 *
 * @param announced the version that takes effect once all controllers announce it
 * @param readable the newest version that can be read
 */
public record FormatSupport(int announced, int readable) {
    /** Support without optional features. */
    public static final FormatSupport STANDARD =
            new FormatSupport(FormatVersion.NEWEST_WITHOUT_FEATURES, FormatVersion.NEWEST);
    /** Support with the federation of cells enabled. */
    public static final FormatSupport FEDERATED =
            new FormatSupport(FormatVersion.DELEGATION_LINKS, FormatVersion.NEWEST);
}
