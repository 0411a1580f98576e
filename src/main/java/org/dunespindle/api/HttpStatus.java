package org.dunespindle.api;

/** The HTTP status codes that the interfaces answer with. */
final class HttpStatus {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int CONFLICT = 409;
    static final int UNPROCESSABLE = 422;
    static final int UNAVAILABLE = 503;

    private HttpStatus() {}
}
