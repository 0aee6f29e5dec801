import java.nio.file.Files;
import java.nio.file.Path;

/** What all cases share: their folder, their settings and their exit codes. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption is on. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder;

    /** Plays the case and returns its exit code. */
    abstract int play() throws Exception;

    /** The arguments are the class of the case, the folder of its record and a temporary folder. */
    public static void main(String[] args) throws Exception {
        Case played = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
        played.folder = Path.of(args[2]);
        Files.createDirectories(played.folder);
        Record.open(Path.of(args[1]).resolve("record.txt"));
        Record.show("case " + args[0] + (played.trouble ? "" : " without the disruption"));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(116_000);
            } catch (InterruptedException e) {
                return;
            }
            Record.show("not run: the time of the case is over");
            System.exit(NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        int code;
        try {
            code = played.play();
        } catch (Throwable e) {
            Record.show("not run: " + e);
            e.printStackTrace();
            code = NOT_RUN;
        }
        Record.show(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case couldn't run");
        System.exit(code);
    }
}
