package org.dunespindle.storage;

/**
 * The versions of the stored forms that a controller supports. A feature's version is announced only while the feature is
 * enabled, but can be read in any case, so that the feature can be disabled again.
 *
 * @param announced the version that becomes the stored one once all controllers announce it
 * @param readable the newest version that can be read
 */
public record FormatSupport(int announced, int readable) {
    /** No optional feature is enabled. */
    public static final FormatSupport STANDARD =
            new FormatSupport(FormatVersion.NEWEST_WITHOUT_FEATURES, FormatVersion.NEWEST);
    /** The federation of cells is enabled. */
    public static final FormatSupport FEDERATED =
            new FormatSupport(FormatVersion.DELEGATION_LINKS, FormatVersion.NEWEST);
}
