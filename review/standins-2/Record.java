import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The file record.txt of a case, with the time since the start before each line. */
final class Record {
    private static PrintWriter out;
    private static final long START_NS = System.nanoTime();

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    static double now() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    static synchronized void line(String text) {
        String line = String.format("%8.3f %s", now(), text);
        if (out != null) {
            out.println(line);
            out.flush();
        }
    }

    /** A line that is also shown on the terminal. */
    static void show(String text) {
        line(text);
        System.out.println(String.format("%8.3f %s", now(), text));
    }

    private Record() {
    }
}
