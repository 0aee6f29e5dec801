import java.io.BufferedWriter;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run: one line each, with the seconds since the start. */
final class Record {
    final long startMs = System.currentTimeMillis();
    private final BufferedWriter out;

    Record(Path file) throws IOException {
        Writer w = Files.newBufferedWriter(file);
        out = new BufferedWriter(w);
    }

    double now() {
        return (System.currentTimeMillis() - startMs) / 1000.0;
    }

    synchronized void line(String text) {
        try {
            out.write(String.format("%8.3f %s%n", now(), text));
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
