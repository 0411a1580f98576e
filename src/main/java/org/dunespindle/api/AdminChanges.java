package org.dunespindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.Options;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.transport.HttpStatus;

/** Stores operators' changes: to the options, and requests to drain machines. A change is answered once it is stored. */
final class AdminChanges {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final StateReplica replica;
    private final CommitQueue commitQueue;
    private final MachineRecordWriter machineWriter;

    /**
     * A decoded request to set options.
     *
     * @param expectedRevision the revision of the options that the caller has read
     */
    private record OptionsChange(long expectedRevision, JsonNode values) {}

    AdminChanges(ControllerContext context, CommitQueue commitQueue, MachineRecordWriter machineWriter) {
        this.replica = context.replica();
        this.commitQueue = commitQueue;
        this.machineWriter = machineWriter;
    }

    /** Stores options unless they have changed since the caller read them. */
    void setOptions(byte[] body, Consumer<AdminResponse> answer) {
        Optional<OptionsChange> parsed = parseOptionsChange(body);
        if (parsed.isEmpty()) {
            answer.accept(AdminResponse.error(
                    HttpStatus.BAD_REQUEST, "expected {\"stamp\": the stamp as read, \"values\": {name: value, ...}}"));
            return;
        }
        OptionsChange change = parsed.get();
        Optional<String> invalid = findInvalidValue(change.values);
        if (invalid.isPresent()) {
            answer.accept(AdminResponse.error(HttpStatus.BAD_REQUEST, invalid.get()));
            return;
        }
        if (commitQueue.isLocked(Keys.OPTIONS)) {
            answer.accept(AdminResponse.changeInProgress());
            return;
        }
        Transaction transaction = new Transaction()
                .requireRevision(Keys.OPTIONS, change.expectedRevision)
                .write(Keys.OPTIONS, mergeIntoStored(change.values));
        commitQueue.propose(
                CommitPriority.USERS,
                transaction,
                result -> answer.accept(afterCommit(
                        result, () -> MessagePackCodec.map().put("stamp", replica.modRevision(Keys.OPTIONS)))));
    }

    private static Optional<OptionsChange> parseOptionsChange(byte[] body) {
        JsonNode request;
        try {
            request = JSON.readTree(body);
        } catch (IOException e) {
            return Optional.empty(); // the caller answers it as a malformed request
        }
        boolean wellFormed = request != null
                && request.path("stamp").isIntegralNumber()
                && request.path("values").isObject();
        return wellFormed
                ? Optional.of(new OptionsChange(request.get("stamp").longValue(), request.get("values")))
                : Optional.empty();
    }

    private Optional<String> findInvalidValue(JsonNode values) {
        for (Map.Entry<String, JsonNode> value : values.properties()) {
            Optional<String> error = Options.validate(value.getKey(), value.getValue());
            if (error.isPresent()) {
                return error;
            }
        }
        return Optional.empty();
    }

    private ObjectNode mergeIntoStored(JsonNode values) {
        ObjectNode merged = replica.value(Keys.OPTIONS)
                .filter(JsonNode::isObject)
                .map(stored -> ((ObjectNode) stored).deepCopy())
                .orElseGet(MessagePackCodec::map);
        values.properties().forEach(value -> merged.set(value.getKey(), value.getValue()));
        return merged;
    }

    /** Marks a machine as draining: it takes no new tasks and is terminated once its tasks have ended. */
    void drain(String machineId, Consumer<AdminResponse> answer) {
        MachineRecord machine = replica.machines().get(machineId);
        if (machine == null) {
            answer.accept(AdminResponse.notFound("no such machine"));
            return;
        }
        if (machineWriter.hasPendingChange(machineId)) {
            answer.accept(AdminResponse.changeInProgress());
            return;
        }
        machineWriter.write(
                CommitPriority.USERS,
                machine.draining(MachineRecord.DRAIN_REASON_OPERATOR),
                result -> answer.accept(afterCommit(
                        result,
                        () -> MessagePackCodec.map().put("id", machineId).put("leaving", true))));
    }

    private static AdminResponse afterCommit(TransactionResult result, Supplier<ObjectNode> bodyIfApplied) {
        if (result instanceof TransactionResult.Applied) {
            return AdminResponse.ok(bodyIfApplied.get());
        }
        return result instanceof TransactionResult.Conflict
                ? AdminResponse.error(HttpStatus.CONFLICT, "changed concurrently; read again and repeat")
                : AdminResponse.stateServiceUnavailable();
    }
}
