package org.dunespindle;

/** The HTTP status codes that the listeners answer with by themselves. */
final class HttpStatus {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int PAYLOAD_TOO_LARGE = 413;
    static final int INTERNAL_SERVER_ERROR = 500;
    static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}

    /** What a listener tells of a request that no handler saw. */
    static String describe(int status) {
        return switch (status) {
            case PAYLOAD_TOO_LARGE -> "the body is longer than 64 KiB";
            case INTERNAL_SERVER_ERROR -> "the service failed at this request";
            default -> "the request is malformed";
        };
    }
}
