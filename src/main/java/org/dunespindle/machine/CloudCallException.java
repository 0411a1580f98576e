package org.dunespindle.machine;

/** A cloud's answer that does not tell whether the request was carried out. The request may be repeated. */
final class CloudCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private CloudCallException(String message) {
        super(message, null, false, false);
    }

    /** The cloud answered with another status than expected. */
    static CloudCallException unexpectedStatus(int status) {
        return new CloudCallException("unexpected status " + status);
    }

    /** The cloud's answer could not be decoded. */
    static CloudCallException malformedResponse(String what) {
        return new CloudCallException("malformed " + what);
    }
}
