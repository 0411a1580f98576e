package org.dunespindle.coordination;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.WorkerReport;

/** What this process has heard of each worker. Lost with the process; nothing in it is needed for safety. */
public final class Sessions {
    private final Map<String, Session> byHost = new HashMap<>();

    /** One worker as seen from here. */
    public static final class Session {
        private static final int REMEMBERED_IMAGES = 12;
        Optional<WorkerReport> report = Optional.empty();
        Optional<Duration> heardAt = Optional.empty();
        /** A direct command is under way; nothing is concluded until its answer is in. */
        boolean calling;
        /** A {@code run} went unanswered under this token and may still land; empty once fenced off. */
        Optional<Long> unansweredUnder = Optional.empty();
        Duration callAgainAt = Duration.ZERO;
        Duration strayAt = Duration.ZERO;
        long strayStamp = -1;
        int strays;
        int errorsInARow;
        String lastErrorJob = "";
        Duration idleSince = Duration.ZERO;
        final LinkedHashMap<String, Boolean> images = new LinkedHashMap<>();

        /** Takes a report unless a newer one is known; late copies change nothing. */
        boolean accept(WorkerReport r) {
            if (report.isPresent() && !r.newerThan(report.get())) {
                return false;
            }
            report = Optional.of(r);
            return true;
        }

        void fetched(String image) {
            images.remove(image);
            images.put(image, true); // now the latest
            if (images.size() > REMEMBERED_IMAGES) {
                images.remove(images.keySet().iterator().next());
            }
        }

        Set<String> images() {
            return images.keySet();
        }

        /** Whether the last report can prove something: under this token, with no unanswered start. */
        boolean proves(long token) {
            return !calling && unansweredUnder.isEmpty() && report.isPresent() && report.get().token() == token;
        }
    }

    public Session of(String host) {
        return byHost.computeIfAbsent(host, h -> new Session());
    }

    public Optional<Session> known(String host) {
        return Optional.ofNullable(byHost.get(host));
    }

    public Map<String, Session> all() {
        return byHost;
    }

    public void drop(String host) {
        byHost.remove(host);
    }
}
