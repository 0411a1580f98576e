package org.dunespindle.federation.grpc;

import io.grpc.MethodDescriptor;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import org.dunespindle.federation.CellRequest;

/** The methods of the gRPC service between cells: one unary method for each type of request. */
final class CellMethods {
    /** The service's name on the wire. */
    static final String SERVICE = "dunespindle.federation.v1.Cell";
    /** The maximum size of a message in either direction. */
    static final int MAX_MESSAGE_BYTES = 256 << 10;

    private static final Map<Class<? extends CellRequest>, MethodDescriptor<byte[], byte[]>> BY_REQUEST_TYPE = Map.of(
            CellRequest.Hello.class, method("Hello"),
            CellRequest.Offer.class, method("Offer"),
            CellRequest.Recall.class, method("Recall"),
            CellRequest.Cancel.class, method("Cancel"),
            CellRequest.Progress.class, method("Progress"));

    private CellMethods() {}

    private static MethodDescriptor<byte[], byte[]> method(String name) {
        return MethodDescriptor.<byte[], byte[]>newBuilder()
                .setType(MethodDescriptor.MethodType.UNARY)
                .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, name))
                .setRequestMarshaller(new RawBytesMarshaller())
                .setResponseMarshaller(new RawBytesMarshaller())
                .build();
    }

    static MethodDescriptor<byte[], byte[]> of(CellRequest request) {
        return BY_REQUEST_TYPE.get(request.getClass());
    }

    /** The methods by the type of their request. */
    static Map<Class<? extends CellRequest>, MethodDescriptor<byte[], byte[]>> byRequestType() {
        return BY_REQUEST_TYPE;
    }

    static List<MethodDescriptor<byte[], byte[]>> descriptors() {
        return List.copyOf(BY_REQUEST_TYPE.values());
    }

    /** Passes JSON text through unparsed, so that the server can choose the status for a malformed message. */
    private static final class RawBytesMarshaller implements MethodDescriptor.Marshaller<byte[]> {
        @Override
        public InputStream stream(byte[] value) {
            return new ByteArrayInputStream(value);
        }

        @Override
        public byte[] parse(InputStream stream) {
            try {
                return stream.readAllBytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
