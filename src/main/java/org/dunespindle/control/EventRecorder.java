package org.dunespindle.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayDeque;
import org.dunespindle.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.helpers.MessageFormatter;

/** Tells each decision in one log line and remembers the latest for the administration API. */
public final class EventRecorder {
    private static final int REMEMBERED = 200;
    private final TimeSource timeSource;
    private final ArrayDeque<Entry> latest = new ArrayDeque<>();

    private record Entry(Instant at, String text) {}

    /** Creates an empty list. */
    public EventRecorder(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Logs a decision and keeps it for the administration API. */
    public void record(Logger log, String pattern, Object... parts) {
        String text = MessageFormatter.arrayFormat(pattern, parts).getMessage();
        log.info(text);
        latest.addLast(new Entry(timeSource.wallTime(), text));
        if (latest.size() > REMEMBERED) {
            latest.removeFirst();
        }
    }

    /** Adds the kept decisions to a response. */
    public ObjectNode toNode(ObjectNode into) {
        ArrayNode list = into.putArray("decisions");
        latest.forEach(e -> list.addObject().put("at", e.at.toString()).put("what", e.text));
        return into;
    }
}
