package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/** A message or settings file that violates its format. The text names the field and is returned to the sender. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The number of characters of a given value that are quoted, so that messages stay short. */
    private static final int MAX_QUOTED_CHARACTERS = 40;

    /** Creates an exception without a stack trace, since malformed input is expected. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }

    /** Creates an exception for a field whose value is missing or not as {@code allowed} describes. */
    static MalformedMessageException invalid(String field, String allowed, JsonNode given) {
        boolean missing = given == null || given.isMissingNode() || given.isNull();
        return new MalformedMessageException(
                field + " must be " + allowed + (missing ? ", but is missing" : ", but is " + quote(given)));
    }

    private static String quote(JsonNode given) {
        String text = given.toString();
        return text.codePointCount(0, text.length()) <= MAX_QUOTED_CHARACTERS
                ? text
                : text.substring(0, text.offsetByCodePoints(0, MAX_QUOTED_CHARACTERS)) + "...";
    }
}
