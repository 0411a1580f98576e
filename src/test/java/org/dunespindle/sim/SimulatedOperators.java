package org.dunespindle.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.dunespindle.api.AdminResponse;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.JsonCodec;
import org.dunespindle.protocol.MessagePackCodec;

/** The operators of a simulated cluster, who use the administration API of its controllers. */
final class SimulatedOperators {
    private static final int CONTROLLERS = 3;
    private final VirtualTime sim;
    private final IntFunction<Controller> controllers;
    private final Consumer<String> onViolation;

    /**
     * Creates the operators.
     *
     * @param onViolation receives the violations of invariants
     */
    SimulatedOperators(VirtualTime sim, IntFunction<Controller> controllers, Consumer<String> onViolation) {
        this.sim = sim;
        this.controllers = controllers;
        this.onViolation = onViolation;
    }

    /** The texts of the recent decisions of all controllers, one per line. */
    String decisions() {
        var text = new StringBuilder();
        for (int node = 0; node < CONTROLLERS; node++) {
            call(node, "GET", "/v1/decisions", "")
                    .join()
                    .body()
                    .path("decisions")
                    .forEach(event -> text.append(event.path("what").asText()).append('\n'));
        }
        return text.toString();
    }

    /** Calls a controller's administration API, and runs the simulation for a second, within which the response arrives. */
    CompletableFuture<AdminResponse> call(int node, String method, String path, String body) {
        var result = new CompletableFuture<AdminResponse>();
        controllers
                .apply(node)
                .adminApi()
                .handle(method, path, body.getBytes(StandardCharsets.UTF_8), result::complete);
        sim.run(sim.now().plusSeconds(1));
        return result;
    }

    /** Sets operator options through a controller. They must not have been changed before. */
    void setOptions(int node, Map<String, Double> values) {
        ObjectNode change = MessagePackCodec.map().put("stamp", 0);
        ObjectNode list = change.putObject("values");
        values.forEach(list::put);
        controllers.apply(node).adminApi().handle("PUT", "/v1/options", JsonCodec.write(change), answer -> {
            if (answer.status() != 200) {
                onViolation.accept("options were not accepted: " + answer.body());
            }
        });
    }
}
