package org.dunespindle.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayDeque;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.helpers.MessageFormatter;

/** Logs the controller's decisions as events and keeps the latest of them for the administration API. */
public final class EventRecorder {
    private static final int MAX_EVENTS = 200;
    private final TimeSource timeSource;
    private final ArrayDeque<Event> latestEvents = new ArrayDeque<>();

    private record Event(Instant recordedAt, String text) {}

    /** Creates a recorder without events. */
    public EventRecorder(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Logs an event, given as an SLF4J pattern with arguments, and keeps it for the administration API. */
    public void record(Logger log, String pattern, Object... arguments) {
        String text = MessageFormatter.arrayFormat(pattern, arguments).getMessage();
        log.info(text);
        latestEvents.addLast(new Event(timeSource.wallTime(), text));
        if (latestEvents.size() > MAX_EVENTS) {
            latestEvents.removeFirst();
        }
    }

    /** Adds the latest events to an answer of the administration API. */
    public ObjectNode toNode(ObjectNode answer) {
        ArrayNode list = answer.putArray("decisions");
        latestEvents.forEach(event ->
                list.addObject().put("at", event.recordedAt().toString()).put("what", event.text()));
        return answer;
    }
}
