import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one line each with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(text);
        System.out.println(text);
    }
}
