package org.dunespindle.federation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.time.TimeSource;

/** What this controller knows of another cell from talking to it. Nothing here is stored. */
final class CellConnection {
    static final Duration DEADLINE = Duration.ofMillis(1500);
    private static final int MOST_UNDER_WAY = 6;
    /** Of requests that users wait for. */
    private static final int MOST_FOR_USERS = 24;

    /** Room told longer ago than this is not offered into. */
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

    /** A refusal that was told, and until when the cell is not asked again. */
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

    /** Whether another request may be sent now. */
    boolean free() {
        return underWay < MOST_UNDER_WAY;
    }

    /** Whether another request that a user waits for may be sent now. */
    boolean freeForUsers() {
        return underWay < MOST_FOR_USERS;
    }

    /** Sends a request to the controller that is thought to lead; nothing is told if no answer comes. */
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

    /** How many controllers the cell has. */
    int controllerCount() {
        return controllers.size();
    }

    void greeted(CellReply.Greeting told, Duration asked) {
        greeting = Optional.of(told);
        greetedAt = asked;
    }

    /** What its leader told last, while it is fresh. */
    Optional<CellReply.Greeting> freshGreeting() {
        return greeting.filter(told -> told.leads() && age().compareTo(FRESH) < 0);
    }

    Optional<CellReply.Greeting> lastGreeting() {
        return greeting;
    }

    /** How old what was told last is. */
    Duration age() {
        return timeSource.now().minus(greetedAt);
    }

    /** How long no controller of the cell has answered; empty if none ever did. */
    Optional<Duration> silentFor() {
        return answeredAt.map(at -> timeSource.now().minus(at));
    }

    /** Why nothing is offered to the cell, if only an operator can tell what is true. */
    Optional<String> trouble() {
        return greetingTrouble.or(() -> contradiction);
    }

    /** What is wrong with the cell by its latest greeting. */
    Optional<String> greetingTrouble() {
        return greetingTrouble;
    }

    /** Notes what is wrong with the cell by its latest greeting; tells whether that is new. */
    boolean greetingTrouble(Optional<String> now) {
        boolean news = !greetingTrouble.equals(now);
        greetingTrouble = now;
        return news;
    }

    /** Notes what the cell tells of some job that cannot be; tells whether that is new. */
    boolean contradiction(Optional<String> now) {
        boolean news = !contradiction.equals(now);
        contradiction = now;
        return news;
    }

    void refused(ResourceKind kind, Rejection refusal) {
        refusals.put(kind, new Refused(refusal.reason(), timeSource.now().plus(refusal.retryAfter())));
    }

    /** A refusal of work of some kind that still holds. */
    Optional<Refused> refusal(ResourceKind kind) {
        refusals.values().removeIf(refused -> refused.until.compareTo(timeSource.now()) <= 0);
        return Optional.ofNullable(refusals.get(kind));
    }
}
