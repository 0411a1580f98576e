package org.dunespindle.transport;

/** The HTTP status codes that this program sends or interprets. */
public final class HttpStatus {
    public static final int OK = 200;
    public static final int CREATED = 201;
    public static final int BAD_REQUEST = 400;
    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    public static final int CONFLICT = 409;
    public static final int CONTENT_TOO_LARGE = 413;
    public static final int MISDIRECTED = 421;
    public static final int UNPROCESSABLE = 422;
    public static final int TOO_MANY_REQUESTS = 429;
    public static final int INTERNAL_SERVER_ERROR = 500;
    public static final int SERVICE_UNAVAILABLE = 503;

    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    private HttpStatus() {}

    /** Whether a status is a client error (4xx), which means that the request was at fault rather than the server. */
    public static boolean isClientError(int status) {
        return status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
    }
}
