package org.dunespindle.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Bodies outside the service: MessagePack to and from trees. */
public final class Pack {
    public static final String TYPE = "application/msgpack";
    private static final ObjectMapper MAPPER = mapper();
    private static final ObjectMapper JSON = new ObjectMapper();

    private Pack() {}

    private static ObjectMapper mapper() {
        var factory = new MessagePackFactory();
        factory.setStreamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(32).build());
        return new ObjectMapper(factory);
    }

    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Reads one whole value; anything behind it makes the body malformed. */
    public static JsonNode read(byte[] body) throws MalformedException {
        try (JsonParser parser = MAPPER.getFactory().createParser(body)) {
            JsonNode node = MAPPER.readTree(parser);
            if (node == null || node.isMissingNode() || !atEnd(parser)) {
                throw new MalformedException("the body is not one MessagePack value");
            }
            return node;
        } catch (IOException | RuntimeException e) {
            throw new MalformedException("the body is not MessagePack");
        }
    }

    /** The MessagePack parser tells the end of input by an exception. */
    private static boolean atEnd(JsonParser parser) throws IOException {
        try {
            return parser.nextToken() == null;
        } catch (JsonEOFException e) {
            return true;
        }
    }

    public static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The size that the protocol's limits count: that of the JSON form. */
    public static int countedSize(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node).length;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
