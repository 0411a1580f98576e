package org.dunespindle.storage;

/**
 * Which versions of the stored forms a controller deals with. What a feature stores is announced only while the feature is
 * switched on, but understood in any case, so that it can be switched off again.
 *
 * @param announced the version that is stored once all controllers announce it
 * @param readable the newest version that is understood
 */
public record FormatSupport(int announced, int readable) {
    /** The program without any feature switched on. */
    public static final FormatSupport STANDARD =
            new FormatSupport(FormatVersion.WITHOUT_FEATURES, FormatVersion.NEWEST);
    /** The program with the federation switched on. */
    public static final FormatSupport FEDERATED = new FormatSupport(FormatVersion.CELL_TIES, FormatVersion.NEWEST);
}
