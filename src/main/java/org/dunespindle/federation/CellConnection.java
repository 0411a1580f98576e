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
    static final Duration DEADLINE = Duration.ofMillis(1500);
    private static final int MOST_UNDER_WAY = 6;
    /** The limit for requests that users wait for, which is above the limit for background calls. */
    private static final int MOST_FOR_USERS = 24;

    /** Capacity hints older than this are not used for offers. */
    private static final Duration FRESH = Duration.ofSeconds(8);

    private final FederationSettings.RemoteCell cell;
    private final List<String> controllers;
    private final CellTransport transport;
    private final TimeSource timeSource;
    private int preferred;
    private int underWay;
    private Optional<CellReply.Greeting> greeting = Optional.empty();
    private Duration greetedAt = Duration.ZERO;
    private Optional<Duration> answeredAt = Optional.empty();
    private Optional<String> greetingTrouble = Optional.empty();
    private Optional<String> contradiction = Optional.empty();
    private final Map<ResourceKind, Refused> refusals = new HashMap<>();

    /** Why the cell declined work of a kind, and until when no such work is offered to it. */
    record Refused(Rejection.Reason reason, Duration until) {}

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
    boolean free() {
        return underWay < MOST_UNDER_WAY;
    }

    /** Whether the limit on calls for users permits another one. */
    boolean freeForUsers() {
        return underWay < MOST_FOR_USERS;
    }

    /** Sends a request to the presumed leader. Exactly one of the callbacks runs: the first on a reply, the second on a failure. */
    void call(CellRequest request, Consumer<CellReply> answered, Runnable silent) {
        int asked = preferred;
        underWay++;
        transport
                .call(cell.controllers().get(controllers.get(asked)), request, DEADLINE)
                .whenComplete((reply, failure) -> {
                    underWay--;
                    if (reply == null) {
                        turnFrom(asked);
                        silent.run();
                    } else {
                        answeredAt = Optional.of(timeSource.now());
                        redirect(reply, asked);
                        answered.accept(reply);
                    }
                });
    }

    private void redirect(CellReply reply, int asked) {
        if (reply instanceof CellReply.NotServed notServed) {
            notServed.leader().ifPresentOrElse(this::prefer, () -> turnFrom(asked));
        } else if (reply instanceof CellReply.Greeting told && !told.leads()) {
            told.leader().ifPresent(this::prefer);
        }
    }

    private void prefer(String controller) {
        if (controllers.contains(controller)) {
            preferred = controllers.indexOf(controller);
        }
    }

    private void turnFrom(int asked) {
        if (preferred == asked) {
            preferred = (asked + 1) % controllers.size();
        }
    }

    /** The number of the cell's configured controllers. */
    int controllerCount() {
        return controllers.size();
    }

    void greeted(CellReply.Greeting told, Duration asked) {
        greeting = Optional.of(told);
        greetedAt = asked;
    }

    /** The latest greeting, if a leader sent it and it has not expired. */
    Optional<CellReply.Greeting> freshGreeting() {
        return greeting.filter(told -> told.leads() && age().compareTo(FRESH) < 0);
    }

    Optional<CellReply.Greeting> lastGreeting() {
        return greeting;
    }

    /** The time since the latest greeting was requested. */
    Duration age() {
        return timeSource.now().minus(greetedAt);
    }

    /** The time since any controller of the cell last replied; empty if none ever did. */
    Optional<Duration> silentFor() {
        return answeredAt.map(at -> timeSource.now().minus(at));
    }

    /** The problem that needs an operator; nothing is offered to the cell while there is one. */
    Optional<String> trouble() {
        return greetingTrouble.or(() -> contradiction);
    }

    /** The problem that the reply to the latest hello revealed. */
    Optional<String> greetingTrouble() {
        return greetingTrouble;
    }

    /** Sets the problem that the reply to the latest hello revealed; returns whether it changed. */
    boolean greetingTrouble(Optional<String> now) {
        boolean news = !greetingTrouble.equals(now);
        greetingTrouble = now;
        return news;
    }

    /** Sets the contradiction between the cell's reports and the stored state; returns whether it changed. */
    boolean contradiction(Optional<String> now) {
        boolean news = !contradiction.equals(now);
        contradiction = now;
        return news;
    }

    void refused(ResourceKind kind, Rejection refusal) {
        refusals.put(kind, new Refused(refusal.reason(), timeSource.now().plus(refusal.retryAfter())));
    }

    /** The latest rejection of work of a kind, if it has not expired. */
    Optional<Refused> refusal(ResourceKind kind) {
        refusals.values().removeIf(refused -> refused.until.compareTo(timeSource.now()) <= 0);
        return Optional.ofNullable(refusals.get(kind));
    }
}
