import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with seconds since the start of the case. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
    }
}
