import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The controllers as processes, started with the command of the deploy file. */
final class Controllers {
    /** Settings that differ from case to case; the others are those of a small deployment. */
    static class Site {
        String[] zones = {"blue-mountain", "port-royal"};
        double reportS = 3.0;
        double leaseS = 18.0;
        double cancelS = 43.0;
        double stateRps = 100.0;
        double stateWriteRps = 25.0;
        double valueKb = 32.0;
        int txnOps = 16;
        double cloudRps = 8.0;
        double listLagS = 8.0;
        String[] teams = {"indexers"};
        double cpusMax = 0.0;
        int sockets = 1800;
    }

    private final List<String> command;
    private final Path folder;
    private final int count;
    private final String[] api;
    private final String[] mesh;
    private final Process[] processes;
    private final Site site;

    Controllers(Path folder, Site site, int count, String cloud, String state) throws IOException {
        this.folder = folder;
        this.site = site;
        this.count = count;
        api = new String[count];
        mesh = new String[count];
        processes = new Process[count];
        for (int i = 0; i < count; i++) {
            // An address of its own for each, so that no client's port can be in the way of a restart.
            api[i] = freeAddress("127.0.0." + (11 + i));
            mesh[i] = freeAddress("127.0.0." + (11 + i));
        }
        for (int i = 0; i < count; i++) Files.writeString(config(i), toml(i, cloud, state));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy", "service.toml")));
        if (!run.find()) throw new IOException("deploy/service.toml has no run");
        command = Arrays.asList(run.group(1).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static String freeAddress(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return host + ":" + socket.getLocalPort();
        }
    }

    private Path config(int i) {
        return folder.resolve(name(i) + ".toml");
    }

    static String name(int i) {
        return "picker-" + i;
    }

    String api(int i) {
        return api[i];
    }

    String mesh(int i) {
        return mesh[i];
    }

    int count() {
        return count;
    }

    /** The number of the controller with this name; -1 if there is none. */
    int number(String name) {
        for (int i = 0; i < count; i++) if (name(i).equals(name)) return i;
        return -1;
    }

    private String toml(int i, String cloud, String state) {
        StringBuilder out = new StringBuilder();
        out.append("node = \"").append(name(i)).append("\"\ndomain = \"").append(site.zones[i % site.zones.length]).append("\"\n");
        out.append("api_addr = \"").append(api[i]).append("\"\nmesh_addr = \"").append(mesh[i]).append("\"\n");
        for (int p = 0; p < count; p++) {
            if (p == i) continue;
            out.append("\n[[peers]]\nnode = \"").append(name(p)).append("\"\ndomain = \"").append(site.zones[p % site.zones.length]);
            out.append("\"\naddr = \"").append(mesh[p]).append("\"\n");
        }
        out.append("\n[endpoints]\ncloud = \"").append(cloud).append("\"\nstate = \"").append(state).append("\"\n");
        out.append("\n[settings]\ninitial_size = ").append(count).append("\nzones = [\"").append(String.join("\", \"", site.zones));
        out.append("\"]\nclock_error_ms = 100.0\n");
        for (String team : site.teams) {
            out.append("\n[[settings.teams]]\nname = \"").append(team).append("\"\ncpus = 0.0\ncpus_max = ").append(site.cpusMax);
            out.append("\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        out.append("\n[settings.workers]\nreport_s = ").append(site.reportS).append("\nlease_s = ").append(site.leaseS);
        out.append("\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = ").append(site.cancelS).append('\n');
        out.append("\n[settings.state]\nrps = ").append(site.stateRps).append("\nwrite_rps = ").append(site.stateWriteRps);
        out.append("\nvalue_kb = ").append(site.valueKb).append("\ntxn_ops = ").append(site.txnOps).append('\n');
        out.append("\n[settings.cloud]\nrps = ").append(site.cloudRps).append("\nlist_lag_s = ").append(site.listLagS).append('\n');
        out.append("\n[settings.resources]\ncpu = 0.425\nmem_mb = 210.0\nfd_limit = ").append(site.sockets).append('\n');
        return out.toString();
    }

    void startAll() throws IOException {
        for (int i = 0; i < count; i++) start(i);
    }

    synchronized void start(int i) throws IOException {
        List<String> words = new ArrayList<>(command);
        words.add(config(i).toString());
        File log = folder.resolve(name(i) + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        String level = System.getenv("LOG_LEVEL");
        builder.environment().put("LOG_LEVEL", level == null ? "info" : level);
        processes[i] = builder.start();
        Files.writeString(folder.resolve("pids"), processes[i].pid() + "\n", java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND);
        Record.line("started " + name(i) + " api " + api[i]);
    }

    synchronized void kill(int i) throws InterruptedException {
        processes[i].destroyForcibly();
        processes[i].waitFor(10, TimeUnit.SECONDS);
        Record.line("killed " + name(i));
    }

    void signal(int i, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes[i].pid())).start().waitFor();
        Record.line(name(i) + " gets SIG" + signal);
    }

    boolean isAlive(int i) {
        return processes[i] != null && processes[i].isAlive();
    }

    /** The exit code of a process that has ended by itself; null if it runs. */
    Integer exitCode(int i) {
        return processes[i].isAlive() ? null : processes[i].exitValue();
    }

    synchronized void killAll() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        for (Process process : processes) {
            if (process == null) continue;
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Lines of a controller's log that contain one of these texts, at most [most] of them. */
    List<String> logLines(int i, int most, String... texts) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve(name(i) + ".log"), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            for (String text : texts) {
                if (line.contains(text) && found.size() < most) {
                    found.add(line);
                    break;
                }
            }
        }
        return found;
    }

    /** Waits until [needed] controllers answer GET /up with 200. */
    boolean awaitUp(int needed, double withinS) throws InterruptedException {
        double until = Record.now() + withinS;
        while (Record.now() < until) {
            int up = 0;
            for (int i = 0; i < count; i++) {
                if (isAlive(i) && Http.call(Http.client(), "GET", "http://" + api[i] + "/up", null, 1).status == 200) up++;
            }
            if (up >= needed) return true;
            Thread.sleep(200);
        }
        return false;
    }
}
