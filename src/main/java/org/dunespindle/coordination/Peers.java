package org.dunespindle.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.dunespindle.bookkeeping.Timeline;
import org.dunespindle.protocol.Settings;
import org.dunespindle.transport.Caller;

/**
 * What the controllers tell one another about once a second: which machines can take tasks, which were
 * heard lately and which are bad. Only advice: what is decided rests on the state service and on workers.
 */
public final class Peers {
    private static final Duration TIMEOUT = Duration.ofMillis(1500);
    private static final Duration FRESH = Duration.ofSeconds(4);
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Settings settings;
    private final Caller http;
    private final Timeline timeline;
    /** Told of machine and image: what a machine has fetched outlives the change of its owner. */
    private final BiConsumer<String, String> imageSeen;
    private final Map<String, Word> words = new HashMap<>();

    /** The last word of a controller. */
    public record Word(Duration at, Set<String> ready, Map<String, Duration> heardAt, Set<String> bad, Duration viewAge) {}

    public Peers(Settings settings, Caller http, Timeline timeline, BiConsumer<String, String> imageSeen) {
        this.imageSeen = imageSeen;
        this.settings = settings;
        this.http = http;
        this.timeline = timeline;
    }

    /** A controller's last word while it is fresh. */
    public Optional<Word> word(String node) {
        return Optional.ofNullable(words.get(node)).filter(w -> timeline.now().minus(w.at).compareTo(FRESH) < 0);
    }

    public Map<String, Word> all() {
        return words;
    }

    public void tell(Supplier<ObjectNode> own) {
        byte[] body = Admin.write(own.get());
        for (Settings.Seed seed : settings.seeds()) {
            http.send(seed.address(), "POST", "/peer/word", body, "application/json", TIMEOUT).whenComplete((a, e) -> {
                if (a != null && a.status() == 200) {
                    hear(a.body());
                }
            });
        }
    }

    /** Takes a word in; unreadable ones count as none. */
    public void hear(byte[] body) {
        try {
            JsonNode n = JSON.readTree(body);
            if (n == null || !n.isObject()) {
                return;
            }
            Duration now = timeline.now();
            var ready = new HashSet<String>();
            n.path("ready").forEach(h -> ready.add(h.asText()));
            n.path("images").fields().forEachRemaining(f -> f.getValue().forEach(i -> imageSeen.accept(f.getKey(), i.asText())));
            var heard = new HashMap<String, Duration>();
            n.path("heardMs").fields().forEachRemaining(f -> heard.put(f.getKey(), now.minus(Duration.ofMillis(f.getValue().asLong()))));
            var bad = new HashSet<String>();
            n.path("bad").forEach(h -> bad.add(h.asText()));
            words.put(n.path("node").asText(), new Word(now, ready, heard, bad, Duration.ofMillis(n.path("viewAgeMs").asLong())));
        } catch (IOException e) {
            // counts as no word
        }
    }
}
