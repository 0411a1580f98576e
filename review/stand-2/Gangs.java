import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The gangs' tasks find one another by their attempt number: they start together once all have gathered, and end together. */
final class Gangs {
    private static final class Attempt {
        final Set<String> gathered = new HashSet<>();
        double endsAt;
        double brokenAt;
    }

    private final Cell cell;
    private final Map<String, Integer> sizes = new HashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();

    Gangs(Cell cell) {
        this.cell = cell;
    }

    synchronized void add(String job, int pieces) {
        sizes.put(job, pieces);
    }

    private static String job(String piece) {
        return piece.substring(0, piece.indexOf('/'));
    }

    synchronized boolean isGang(String piece) {
        return sizes.containsKey(job(piece));
    }

    private Attempt attempt(String piece, long number) {
        return attempts.computeIfAbsent(job(piece) + "#" + number, key -> new Attempt());
    }

    synchronized void gather(String piece, long number) {
        Attempt attempt = attempt(piece, number);
        attempt.gathered.add(piece);
        if (attempt.endsAt == 0 && attempt.gathered.size() == sizes.get(job(piece))) {
            attempt.endsAt = cell.now() + cell.runS(piece);
            cell.record("gang " + job(piece) + " runs, attempt " + number);
            cell.running(job(piece));
        }
    }

    /** A task has exited or is gone. */
    synchronized void leave(String piece, long number) {
        Attempt attempt = attempt(piece, number);
        boolean running = attempt.endsAt > 0 && cell.now() < attempt.endsAt;
        if (attempt.gathered.remove(piece) && running && attempt.brokenAt == 0) {
            attempt.brokenAt = cell.now();
        }
    }

    /** When the running gang completes; 0 before it runs. */
    synchronized double endsAt(String piece, long number) {
        return attempt(piece, number).endsAt;
    }

    /** Whether the others notice by now that a task of the running gang is gone. */
    synchronized boolean isBroken(String piece, long number) {
        double at = attempt(piece, number).brokenAt;
        return at > 0 && cell.now() > at + cell.gangPeerS;
    }
}
