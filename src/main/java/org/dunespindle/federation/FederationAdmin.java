package org.dunespindle.federation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.AdminResponse;
import org.dunespindle.api.DelegationContext;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.OutboundDelegation;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;

/** The federation's endpoints of the administration API: {@code cells}, {@code delegations}, and abandoning a cell. */
final class FederationAdmin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CELLS = "cells";
    private static final String DELEGATIONS = "delegations";
    private static final String ABANDON = "/abandon";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final String RISK =
            "jobs given to the cell are placed here again and run twice if it still runs them; its jobs here are cancelled";

    private final DelegationContext context;
    private final StateReplica replica;
    private final CellIdentityKeeper identityKeeper;
    private final KnownCells knownCells;
    private final Map<String, CellConnection> connections;
    private final OutboundDelegationService outboundDelegations;

    FederationAdmin(
            DelegationContext context,
            CellIdentityKeeper identityKeeper,
            KnownCells knownCells,
            Map<String, CellConnection> connections,
            OutboundDelegationService outboundDelegations) {
        this.context = context;
        this.replica = context.replica();
        this.identityKeeper = identityKeeper;
        this.knownCells = knownCells;
        this.connections = connections;
        this.outboundDelegations = outboundDelegations;
    }

    /** Handles a request; returns false if the path is none of the federation's. */
    boolean handle(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        boolean isRead = method.equals("GET") && (path.equals(CELLS) || path.equals(DELEGATIONS));
        boolean isAbandon = method.equals("POST") && path.startsWith(CELLS + "/") && path.endsWith(ABANDON);
        if (isRead) {
            replica.refresh(
                    () -> answer.accept(new AdminResponse(OK, path.equals(CELLS) ? cells() : delegationList())),
                    () -> answer.accept(unavailable()));
        } else if (isAbandon) {
            String name = path.substring(CELLS.length() + 1, path.length() - ABANDON.length());
            replica.refresh(() -> abandon(name, body, answer), () -> answer.accept(unavailable()));
        }
        return isRead || isAbandon;
    }

    private static AdminResponse unavailable() {
        return AdminResponse.error(UNAVAILABLE, "the state service does not answer");
    }

    private ObjectNode cells() {
        ObjectNode node = MessagePackCodec.map();
        identityKeeper.id().ifPresent(id -> FederationRecords.putCellId(node.putObject("self"), id));
        node.put("takesPart", identityKeeper.formatSupported());
        var list = node.putArray(CELLS);
        connections.values().forEach(connection -> show(connection, list.addObject()));
        return node;
    }

    private void show(CellConnection connection, ObjectNode node) {
        node.put("name", connection.name()).put("state", state(connection));
        connection.timeSinceReply().ifPresent(elapsed -> node.put("answeredMsAgo", elapsed.toMillis()));
        connection.problem().ifPresent(trouble -> node.put("trouble", trouble));
        knownCells.cell(connection.name()).ifPresent(cell -> {
            FederationRecords.putCellId(node.putObject("stored"), cell.id());
            node.put("floor", cell.lowestOpenTransfer()).put("abandoned", cell.abandoned());
        });
        connection.lastGreeting().ifPresent(greeting -> {
            node.put("roomMsOld", connection.greetingAge().toMillis());
            node.put(
                    "roomHints",
                    greeting.capacityHints().map(java.util.List::size).orElse(0));
        });
        node.put("jobsThere", countDelegatedJobs(connection.name()))
                .put("itsJobsHere", countInboundJobs(connection.name()));
    }

    private String state(CellConnection connection) {
        if (connection.problem().isPresent()) {
            return "needs an operator";
        }
        if (knownCells
                .cell(connection.name())
                .filter(FederationRecords.KnownCell::abandoned)
                .isPresent()) {
            return "being abandoned";
        }
        if (!identityKeeper.isActiveLeader()) {
            return "watched by the leader"
                    + context.membership().leader().map(name -> ", ask " + name).orElse("; there is none now");
        }
        if (connection.timeSinceReply().isEmpty()) {
            return "has never answered";
        }
        return connection.currentGreeting().isPresent() ? "in contact" : "its leader is not in contact";
    }

    private long countDelegatedJobs(String cell) {
        return outboundDelegations.delegatedJobs().stream()
                .filter(job -> job.outboundDelegation().orElseThrow().cell().equals(cell))
                .count();
    }

    private int countInboundJobs(String cell) {
        int count = 0;
        for (JobRecord job : replica.inboundJobs()) {
            count += job.isOpen()
                            && job.inboundDelegation().orElseThrow().origin().equals(cell)
                    ? 1
                    : 0;
        }
        return count;
    }

    private ObjectNode delegationList() {
        ObjectNode node = MessagePackCodec.map();
        var outboundJobs = node.putArray(DELEGATIONS);
        for (JobRecord job : replica.activeJobs()) {
            job.outboundDelegation().ifPresent(delegation -> show(job, delegation, outboundJobs.addObject()));
        }
        var inboundJobs = node.putArray("visitors");
        for (JobRecord job : replica.inboundJobs()) {
            if (job.isOpen()) {
                inboundJobs
                        .addObject()
                        .put("job", job.id())
                        .put("home", job.inboundDelegation().orElseThrow().origin())
                        .put("transfer", job.inboundDelegation().get().transfer())
                        .put("begun", !job.neverPlaced());
            }
        }
        return node;
    }

    private void show(JobRecord job, OutboundDelegation delegation, ObjectNode node) {
        node.put("job", job.id())
                .put("team", job.submission().team())
                .put("priority", job.submission().priority().wireName())
                .put("cell", delegation.cell())
                .put("transfer", delegation.transfer())
                .put("phase", delegation.phase().name().toLowerCase(java.util.Locale.ROOT))
                .put("transfers", delegation.transfers());
        delegation.notBefore().ifPresent(time -> node.put("notBefore", time.toString()));
        outboundDelegations
                .remoteStatus(job)
                .ifPresent(status -> node.put("told", status.report().state().name())
                        .put(
                                "toldMsAgo",
                                context.timeSource()
                                        .now()
                                        .minus(status.requestedAt())
                                        .toMillis()));
        outboundDelegations.contradiction(job.id()).ifPresent(what -> node.put("contradiction", what));
        waitReason(job).ifPresent(why -> node.put("waits", why));
    }

    /** Why an open job that was offered to other cells waits; empty for other jobs. */
    Optional<String> waitReason(JobRecord job) {
        Optional<OutboundDelegation> delegation = job.isOpen() ? job.outboundDelegation() : Optional.empty();
        if (delegation.isEmpty()) {
            return Optional.empty();
        }
        OutboundDelegation transfer = delegation.get();
        String cell = "cell " + transfer.cell();
        Optional<String> contradiction = outboundDelegations.contradiction(job.id());
        if (contradiction.isPresent()) {
            return Optional.of(cell + ": " + contradiction.get() + "; an operator has to look");
        }
        return Optional.of(
                switch (transfer.phase()) {
                    case HOME ->
                        context.waitReason().apply(job) + "; " + cell + " gave it back (transfer "
                                + transfer.transfers()
                                + ")"
                                + transfer.notBefore()
                                        .map(time -> ", offered again at " + time + " at the earliest")
                                        .orElse("");
                    case OFFERED -> cell + " was offered it and has not answered yet";
                    case RECALLED -> "wanted back from " + cell + ", which has not answered yet";
                    case ACCEPTED -> accepted(job, cell);
                });
    }

    private String accepted(JobRecord job, String cell) {
        return outboundDelegations
                .remoteStatus(job)
                .map(status -> "in " + cell + ": "
                        + status.report().waitReason().orElse("all of its tasks are under way there")
                        + " (told "
                        + context.timeSource().now().minus(status.requestedAt()).toSeconds() + " s ago)")
                .orElse("in " + cell + ", which has not told yet how it stands");
    }

    /** Stores that a cell is abandoned, if the request's body repeats the cell's name as a confirmation. */
    private void abandon(String name, byte[] body, Consumer<AdminResponse> answer) {
        String key = Keys.cell(name);
        Optional<FederationRecords.KnownCell> cell = knownCells.cell(name);
        if (!connections.containsKey(name) || cell.isEmpty()) {
            answer.accept(AdminResponse.error(NOT_FOUND, "no such cell, or nothing is known of it"));
        } else if (!confirmed(name, body)) {
            answer.accept(new AdminResponse(
                    BAD_REQUEST,
                    MessagePackCodec.map()
                            .put("error", "not confirmed: send {\"confirm\": \"" + name + "\"}. " + RISK)
                            .put("jobsThere", countDelegatedJobs(name))
                            .put("itsJobsHere", countInboundJobs(name))));
        } else if (context.commitQueue().isLocked(key)) {
            answer.accept(AdminResponse.error(CONFLICT, "another change is under way; read again and repeat"));
        } else {
            Transaction transaction = new Transaction()
                    .requireRevision(key, replica.modRevision(key))
                    .write(key, FederationRecords.write(cell.get().abandon()));
            context.commitQueue()
                    .propose(
                            CommitPriority.USERS,
                            transaction,
                            result -> answer.accept(
                                    result instanceof TransactionResult.Applied
                                            ? new AdminResponse(
                                                    OK,
                                                    MessagePackCodec.map()
                                                            .put("cell", name)
                                                            .put("abandoned", true)
                                                            .put("risk", RISK))
                                            : AdminResponse.error(UNAVAILABLE, "not stored; read again and repeat")));
        }
    }

    private static boolean confirmed(String name, byte[] body) {
        try {
            JsonNode node = JSON.readTree(body);
            return node != null && node.path("confirm").asText().equals(name);
        } catch (IOException e) {
            return false;
        }
    }
}
