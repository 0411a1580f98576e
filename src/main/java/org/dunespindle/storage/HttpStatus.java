package org.dunespindle.storage;

/** The HTTP status codes that the state store's answers are distinguished by. */
final class HttpStatus {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int CONTENT_TOO_LARGE = 413;
    static final int TOO_MANY_REQUESTS = 429;
    static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}

    /** Whether a status blames the request rather than the server. */
    static boolean isClientError(int status) {
        return status >= 400 && status < 500;
    }
}
