package org.dunespindle.machine;

/** A response of the cloud from which the outcome of a request is unknown. The request is idempotent and may be retried. */
final class CloudCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private CloudCallException(String message) {
        super(message, null, false, false);
    }

    /** The response has an unexpected HTTP status. */
    static CloudCallException unexpectedStatus(int status) {
        return new CloudCallException("unexpected status " + status);
    }

    /** The response body could not be decoded. */
    static CloudCallException malformedResponse(String responseName) {
        return new CloudCallException("malformed " + responseName);
    }
}
