package org.dunespindle.federation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.time.TimeSource;

/** This controller's connection to a remote cell: the calls in flight and the latest replies. Kept in memory only. */
final class CellConnection {
    static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final int MAX_CALLS = 6;
    /** The limit for requests that users wait for, which is above the limit for background calls. */
    private static final int MAX_CALLS_FOR_USERS = 24;

    /** Capacity hints older than this are not used for offers. */
    private static final Duration MAX_GREETING_AGE = Duration.ofSeconds(8);

    private final FederationSettings.RemoteCell cell;
    private final List<String> controllers;
    private final CellTransport transport;
    private final TimeSource timeSource;
    private int preferredController;
    private int callsInProgress;
    private Optional<CellReply.Greeting> greeting = Optional.empty();
    private Duration greetingRequestedAt = Duration.ZERO;
    private Optional<Duration> lastReplyAt = Optional.empty();
    private Optional<String> greetingProblem = Optional.empty();
    private Optional<String> contradiction = Optional.empty();
    private final Map<ResourceKind, RecentRejection> recentRejections = new HashMap<>();

    /** Why the cell declined work of a kind, and until when no such work is offered to it. */
    record RecentRejection(Rejection.Reason reason, Duration until) {}

    CellConnection(FederationSettings.RemoteCell cell, CellTransport transport, TimeSource timeSource) {
        this.cell = cell;
        this.controllers = new ArrayList<>(cell.controllers().keySet());
        this.transport = transport;
        this.timeSource = timeSource;
    }

    String name() {
        return cell.name();
    }

    /** Whether the limit on background calls permits another one. */
    boolean canCall() {
        return callsInProgress < MAX_CALLS;
    }

    /** Whether the limit on calls for users permits another one. */
    boolean canCallForUser() {
        return callsInProgress < MAX_CALLS_FOR_USERS;
    }

    /** Sends a request to the presumed leader. Exactly one of the callbacks runs: the first on a reply, the second on a failure. */
    void call(CellRequest request, Consumer<CellReply> onReply, Runnable onFailure) {
        int controllerIndex = preferredController;
        callsInProgress++;
        transport
                .call(cell.controllers().get(controllers.get(controllerIndex)), request, CALL_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    callsInProgress--;
                    if (reply == null) {
                        rotateFrom(controllerIndex);
                        onFailure.run();
                    } else {
                        lastReplyAt = Optional.of(timeSource.now());
                        redirect(reply, controllerIndex);
                        onReply.accept(reply);
                    }
                });
    }

    private void redirect(CellReply reply, int controllerIndex) {
        if (reply instanceof CellReply.NotServed notServed) {
            notServed.leader().ifPresentOrElse(this::prefer, () -> rotateFrom(controllerIndex));
        } else if (reply instanceof CellReply.Greeting received && !received.leads()) {
            received.leader().ifPresent(this::prefer);
        }
    }

    private void prefer(String controller) {
        if (controllers.contains(controller)) {
            preferredController = controllers.indexOf(controller);
        }
    }

    private void rotateFrom(int controllerIndex) {
        if (preferredController == controllerIndex) {
            preferredController = (controllerIndex + 1) % controllers.size();
        }
    }

    /** The number of the cell's configured controllers. */
    int controllerCount() {
        return controllers.size();
    }

    void recordGreeting(CellReply.Greeting received, Duration requestedAt) {
        greeting = Optional.of(received);
        greetingRequestedAt = requestedAt;
    }

    /** The latest greeting, if a leader sent it and it has not expired. */
    Optional<CellReply.Greeting> currentGreeting() {
        return greeting.filter(latest -> latest.leads() && greetingAge().compareTo(MAX_GREETING_AGE) < 0);
    }

    Optional<CellReply.Greeting> lastGreeting() {
        return greeting;
    }

    /** The time since the latest greeting was requested. */
    Duration greetingAge() {
        return timeSource.now().minus(greetingRequestedAt);
    }

    /** The time since any controller of the cell last replied; empty if none ever did. */
    Optional<Duration> timeSinceReply() {
        return lastReplyAt.map(at -> timeSource.now().minus(at));
    }

    /** The problem that needs an operator; nothing is offered to the cell while there is one. */
    Optional<String> problem() {
        return greetingProblem.or(() -> contradiction);
    }

    /** The problem that the reply to the latest hello revealed. */
    Optional<String> greetingProblem() {
        return greetingProblem;
    }

    /** Sets the problem that the reply to the latest hello revealed; returns whether it changed. */
    boolean updateGreetingProblem(Optional<String> latest) {
        boolean changed = !greetingProblem.equals(latest);
        greetingProblem = latest;
        return changed;
    }

    /** Sets the contradiction between the cell's reports and the stored state; returns whether it changed. */
    boolean updateContradiction(Optional<String> latest) {
        boolean changed = !contradiction.equals(latest);
        contradiction = latest;
        return changed;
    }

    void recordRejection(ResourceKind kind, Rejection rejection) {
        recentRejections.put(
                kind, new RecentRejection(rejection.reason(), timeSource.now().plus(rejection.retryAfter())));
    }

    /** The latest rejection of work of a kind, if it has not expired. */
    Optional<RecentRejection> recentRejection(ResourceKind kind) {
        recentRejections.values().removeIf(recent -> recent.until.compareTo(timeSource.now()) <= 0);
        return Optional.ofNullable(recentRejections.get(kind));
    }
}
