package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.transport.HttpStatus;

/** A response of the administration API before it is encoded. */
public record AdminResponse(int status, ObjectNode body) {
    static AdminResponse ok(ObjectNode body) {
        return new AdminResponse(HttpStatus.OK, body);
    }

    static AdminResponse notFound(String text) {
        return error(HttpStatus.NOT_FOUND, text);
    }

    static AdminResponse stateServiceUnavailable() {
        return error(HttpStatus.SERVICE_UNAVAILABLE, "the state service does not answer");
    }

    /** The response while another change of the same record is being stored. */
    static AdminResponse changeInProgress() {
        return error(HttpStatus.CONFLICT, "another change is under way; read again and repeat");
    }

    /** A response whose body holds an error message. */
    public static AdminResponse error(int status, String text) {
        return new AdminResponse(status, MessagePackCodec.map().put("error", text));
    }
}
