package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BigIntegerNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes MessagePack bodies, the format of all messages to and from users, workers, the state store and the cloud. */
public final class MessagePackCodec {
    public static final String CONTENT_TYPE = "application/msgpack";
    private static final int MAX_DEPTH = 32;
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final ObjectMapper JSON = new ObjectMapper();

    private MessagePackCodec() {}

    /** An empty map. */
    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Reads exactly one value; trailing bytes make the body malformed. The tree is built with the MessagePack library's unpacker,
     * because Jackson's parser signals the end of input by an exception, which costs more than parsing most messages.
     */
    public static JsonNode read(byte[] body) throws MalformedMessageException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            JsonNode node = value(unpacker, 0);
            if (unpacker.hasNext()) {
                throw new MalformedMessageException("the body has bytes after its MessagePack value");
            }
            return node;
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("the body is not valid MessagePack");
        }
    }

    private static JsonNode value(MessageUnpacker in, int depth) throws IOException, MalformedMessageException {
        if (depth > MAX_DEPTH) {
            throw new MalformedMessageException("the body is nested more than " + MAX_DEPTH + " levels deep");
        }
        MessageFormat format = in.getNextFormat();
        switch (format.getValueType()) {
            case NIL -> {
                in.unpackNil();
                return NullNode.instance;
            }
            case BOOLEAN -> {
                return BooleanNode.valueOf(in.unpackBoolean());
            }
            case INTEGER -> {
                return format == MessageFormat.UINT64
                        ? BigIntegerNode.valueOf(in.unpackBigInteger())
                        : LongNode.valueOf(in.unpackLong());
            }
            case FLOAT -> {
                return DoubleNode.valueOf(in.unpackDouble());
            }
            case STRING -> {
                return TextNode.valueOf(in.unpackString());
            }
            case ARRAY -> {
                int size = in.unpackArrayHeader();
                ArrayNode list = JsonNodeFactory.instance.arrayNode();
                for (int i = 0; i < size; i++) {
                    list.add(value(in, depth + 1));
                }
                return list;
            }
            case MAP -> {
                int size = in.unpackMapHeader();
                ObjectNode map = map();
                for (int i = 0; i < size; i++) {
                    map.set(in.unpackString(), value(in, depth + 1));
                }
                return map;
            }
            default ->
                throw new MalformedMessageException(
                        "the body contains a binary or extension value, which is not allowed");
        }
    }

    /** Encodes a tree as MessagePack. */
    public static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The size of a value as the protocol's limits count it: the number of bytes of its JSON form. */
    public static int jsonSize(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node).length;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
