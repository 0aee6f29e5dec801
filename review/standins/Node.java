import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One controller: a process with the command of the deploy file. */
final class Node {
    final String name;
    final String zone;
    final int apiPort;
    final int meshPort;
    StateService.Link link;
    Path settings;
    /** Set when the run ends: from then on no process is started. */
    private static volatile boolean ended;
    private final Record record;
    private final File log;
    private Process process;

    Node(Record record, Path folder, String name, String zone) throws IOException {
        this.record = record;
        this.name = name;
        this.zone = zone;
        this.log = folder.resolve(name + ".log").toFile();
        apiPort = Http.lastingPort();
        meshPort = Http.lastingPort();
    }

    private static List<String> command() throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!m.find()) throw new IOException("deploy/service.toml has no run");
        return new ArrayList<>(Arrays.asList(m.group(1).split(" ")));
    }

    synchronized void start() throws IOException {
        if (ended || isAlive()) return;
        List<String> command = command();
        command.add(settings.toString());
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        String level = System.getenv("LOG_LEVEL");
        b.environment().put("LOG_LEVEL", level == null ? "info" : level);
        process = b.start();
        record.line("controller " + name + " started, process " + process.pid());
    }

    /** Lets no process start any more; those that run are to be killed after it. */
    static void endStarts() {
        ended = true;
    }

    synchronized void kill() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        process = null;
        record.line("controller " + name + " killed");
    }

    /** Sends the process a signal, by its id. */
    synchronized void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        record.line("controller " + name + " got signal " + signal);
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean isUp() {
        Http.Answer a = Http.call(apiPort, "GET", "/up", null, 1000);
        return a != null && a.status == 200;
    }
}
