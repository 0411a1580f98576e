package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sample messages of each kind for the training run that records the JVM's class archive. */
public final class SampleMessages {
    private static final String MACHINE = "i-1";
    private static final String TYPE = "m";
    private static final String ZONE = "z";
    private static final String ADDRESS = "127.0.0.1:1";

    private SampleMessages() {}

    /** A worker's heartbeat with one exited task. */
    public static ObjectNode workerHeartbeat(String address, long sequence, long token) {
        ObjectNode heartbeat = MessagePackCodec.map()
                .put("host", MACHINE)
                .put("address", address)
                .put("hull", TYPE)
                .put("dune", ZONE)
                .put("driftwood", false)
                .put("tenure", 1)
                .put("tick", sequence)
                .put("baton", token);
        heartbeat
                .putArray("pieces")
                .addObject()
                .put("piece", "wk-9/0")
                .put("try", 1)
                .put("phase", "exited")
                .put("cause", "done");
        return heartbeat;
    }

    /** A submission of two tasks. */
    public static ObjectNode job(String id, JobKind kind) {
        return MessagePackCodec.map()
                .put("id", id)
                .put("jobclass", "c")
                .put("owner", "t")
                .put("shape", kind.wireName())
                .put("rank", "urgent")
                .put("pieces", 2)
                .put("vcpus", 1.0)
                .put("accelerators", 1.0)
                .put("ramGb", 1.0)
                .put("samePlace", true)
                .put("apart", false)
                .put("driftwood", true)
                .put("bundle", "i")
                .put("imageGb", 1.0)
                .put("guessS", 1.0)
                .put("snapshotS", 0.0)
                .put("flushS", 0.0);
    }

    /** An answer of the state store, the cloud or a worker to a request for a path. */
    public static ObjectNode answer(String path, long revision) {
        ObjectNode body = MessagePackCodec.map().put("epoch", revision).put("more", false);
        return switch (path) {
            case "/holds" -> body.put("tether", 1);
            case "/orders" -> workerHeartbeat(ADDRESS, 3, 2);
            case "/catalog" -> withMachineType(body);
            case "/rentals" -> withListedMachine(body);
            default -> body;
        };
    }

    private static ObjectNode withMachineType(ObjectNode body) {
        ObjectNode type = body.putArray("hulls").addObject();
        type.put("name", TYPE)
                .put("vcpus", 4.0)
                .put("accelerators", 4.0)
                .put("ramGb", 4.0)
                .put("cacheGb", 4.0)
                .put("fetchGbPerS", 1.0)
                .put("hourly", 1.0)
                .put("lowPrice", 1.0)
                .put("readyS", 1.0);
        type.putArray("dunes").add(ZONE);
        return body;
    }

    private static ObjectNode withListedMachine(ObjectNode body) {
        body.putArray("hosts")
                .addObject()
                .put("id", MACHINE)
                .put("address", ADDRESS)
                .put("hull", TYPE)
                .put("dune", ZONE)
                .put("driftwood", false)
                .put("phase", "running")
                .put("ageS", 1.0);
        return body;
    }
}
