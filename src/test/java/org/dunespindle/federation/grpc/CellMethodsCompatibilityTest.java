package org.dunespindle.federation.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.TreeMap;
import org.dunespindle.federation.CellRequest;
import org.junit.jupiter.api.Test;

/** The gRPC method names. Other cells may run other versions, so no name may change with the names in the sources. */
class CellMethodsCompatibilityTest {
    @Test
    void fullNames() {
        var names = new TreeMap<String, String>();
        CellMethods.byRequestType()
                .forEach((kind, method) -> names.put(kind.getSimpleName(), method.getFullMethodName()));
        assertEquals(
                Map.of(
                        CellRequest.Hello.class.getSimpleName(), "dunespindle.federation.v1.Cell/Hello",
                        CellRequest.Offer.class.getSimpleName(), "dunespindle.federation.v1.Cell/Offer",
                        CellRequest.Recall.class.getSimpleName(), "dunespindle.federation.v1.Cell/Recall",
                        CellRequest.Cancel.class.getSimpleName(), "dunespindle.federation.v1.Cell/Cancel",
                        CellRequest.Progress.class.getSimpleName(), "dunespindle.federation.v1.Cell/Progress"),
                names);
    }
}
