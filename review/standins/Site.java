import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A small deployment on loopback: controllers as processes, and stand-ins for everything else. */
abstract class Site {
    /** Longest time of a run; processes are ended then, whatever happens. */
    private static final long LIMIT_MS = 118_000;
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record;
    final Path folder;
    final List<String> zones = List.of("blue-mountain", "port-royal");
    final List<Node> nodes = new ArrayList<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Set<String> results = ConcurrentHashMap.newKeySet();
    long reportMs = 3000;
    long leaseMs = 18000;
    long cancelMs = 43000;
    double rps = 100;
    double writeRps = 25;
    double valueKb = 32;
    int txnOps = 16;
    double cloudRps = 8;
    long listLagMs = 8000;
    long bootMs = 2000;
    /** Lines of TOML for the limits that the state service will have. */
    String stateNext = "";
    StateService state;
    Cloud cloud;

    Site(String caseFolder) throws IOException {
        record = new Record(Path.of(caseFolder, "record.txt"));
        folder = Files.createTempDirectory("review-");
    }

    /** Runs the case; returns whether the rule held. */
    abstract boolean run() throws Exception;

    /** The teams, as TOML. */
    String teams() {
        return "[[settings.teams]]\nname = \"indexers\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
    }

    static void main(Site site) {
        int[] code = {NOT_RUN};
        Runtime.getRuntime().addShutdownHook(new Thread(site::endAll));
        Thread watchdog = new Thread(() -> {
            pause(LIMIT_MS);
            site.record.line("the run takes too long");
            site.finish(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            site.record.line("trouble " + (site.trouble ? "on" : "off"));
            site.prepare();
            code[0] = site.run() ? HELD : BROKEN;
        } catch (Unfit e) {
            site.record.line("could not run: " + e.getMessage());
        } catch (Throwable e) {
            site.record.line("could not run: " + e);
            e.printStackTrace();
        }
        site.finish(code[0]);
    }

    private void finish(int code) {
        String[] words = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
        record.line("result " + code + ": " + words[code]);
        System.out.println(words[code]);
        endAll();
        Runtime.getRuntime().halt(code);
    }

    private synchronized void endAll() {
        Node.endStarts();
        nodes.forEach(Node::kill);
        if (System.getenv("KEEP_LOGS") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The folder is already gone.
        }
    }

    /** Thrown when the case can't run, so that nothing can be said about the rule. */
    static final class Unfit extends RuntimeException {
        Unfit(String message) {
            super(message);
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Check {
        boolean holds() throws Exception;
    }

    /** Waits until the check holds; otherwise the case can't run. */
    void await(String what, long ms, Check check) throws Exception {
        if (!within(ms, check)) throw new Unfit("not within " + ms / 1000 + " s: " + what);
        record.line("reached: " + what);
    }

    boolean within(long ms, Check check) throws Exception {
        long until = System.currentTimeMillis() + ms;
        while (System.currentTimeMillis() < until) {
            if (check.holds()) return true;
            pause(50);
        }
        return false;
    }

    /** Pauses for so long, but not beyond the given time. */
    static void pauseUntil(long ms, long endMs) {
        pause(Math.max(1, Math.min(ms, endMs - System.currentTimeMillis())));
    }

    /** Whether a sound machine that fits has room for a task of the job. */
    boolean isRoomFor(Job job) {
        for (Worker w : cloud.workers()) {
            if (!isSick(w) && w.hasRoomFor(job)) return true;
        }
        return false;
    }

    private void prepare() throws Exception {
        state = new StateService(record, rps, writeRps, valueKb, txnOps);
        cloud = new Cloud(this, cloudRps, listLagMs, bootMs);
        breeds();
        cloud.start();
        for (int i = 0; i < 3; i++) {
            Node n = new Node(record, folder, "picker-" + i, zones.get(i % 2));
            n.link = state.link(n.name);
            nodes.add(n);
        }
        for (Node n : nodes) {
            n.settings = folder.resolve(n.name + ".toml");
            Files.writeString(n.settings, toml(n));
            n.start();
        }
        await("all controllers are up", 20_000, () -> nodes.stream().allMatch(Node::isUp));
    }

    void breeds() {
        cloud.breed("breadfruit", 32, 128, 1.36);
        cloud.breed("ackee", 64, 512, 3.38);
    }

    private String toml(Node n) {
        StringBuilder b = new StringBuilder();
        b.append("node = \"").append(n.name).append("\"\ndomain = \"").append(n.zone).append("\"\n");
        b.append("api_addr = \"127.0.0.1:").append(n.apiPort).append("\"\nmesh_addr = \"127.0.0.1:").append(n.meshPort).append("\"\n");
        for (Node p : nodes) {
            if (p == n) continue;
            b.append("[[peers]]\nnode = \"").append(p.name).append("\"\ndomain = \"").append(p.zone);
            b.append("\"\naddr = \"127.0.0.1:").append(p.meshPort).append("\"\n");
        }
        b.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloud.port).append("\"\nstate = \"127.0.0.1:").append(n.link.port);
        b.append("\"\n[settings]\ninitial_size = 3\nzones = [\"").append(String.join("\", \"", zones));
        b.append("\"]\nclock_error_ms = 100.0\n").append(teams());
        b.append("[settings.workers]\nreport_s = ").append(reportMs / 1000.0).append("\nlease_s = ").append(leaseMs / 1000.0);
        b.append("\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = ").append(cancelMs / 1000.0).append("\n");
        b.append("[settings.state]\nrps = ").append(rps).append("\nwrite_rps = ").append(writeRps);
        b.append("\nvalue_kb = ").append(valueKb).append("\ntxn_ops = ").append(txnOps).append("\n").append(stateNext);
        b.append("[settings.cloud]\nrps = ").append(cloudRps).append("\nlist_lag_s = ").append(listLagMs / 1000.0);
        b.append("\n[settings.resources]\ncpu = 0.425\nmem_mb = 210.0\nfd_limit = 1800\n");
        return b.toString();
    }

    // Users.

    static Map<String, Object> array(String id, int pieces, double vcpus, double memGb) {
        return Json.of("id", id, "sort", "reindex-sweep", "crew", "indexers", "shape", "array", "rank", "normal", "pieces", pieces,
            "vcpus", vcpus, "cards", 0.0, "mem_gb", memGb, "bundle", "img-07", "pull_gb", 0.5, "breeds", null, "plot", null,
            "together", false, "spread", false, "windfall", true, "guess_s", 15.0, "mark_every_s", 0.0, "mark_cost_s", 0.0, "due_s", null);
    }

    /** Submits a job and repeats it until it is accepted, at most for the 60 s of the protocol. */
    void submit(Job job, int firstNode) {
        jobs.put(job.id, job);
        long until = System.currentTimeMillis() + 60_000;
        int at = firstNode;
        while (System.currentTimeMillis() < until) {
            Node n = nodes.get(at++ % nodes.size());
            Http.Answer a = Http.call(n.apiPort, "POST", "/api/jobs", Json.text(job.body), 5000);
            record.line("user -> " + n.name + ": submit " + job.id + " -> " + a);
            if (a != null && (a.status == 200 || a.status == 201)) return;
            if (a != null && (a.status == 400 || a.status == 422)) throw new Unfit("submission refused");
            pause(1000);
        }
        throw new Unfit("submission not accepted");
    }

    Http.Answer poll(Node n, String id) {
        return Http.call(n.apiPort, "GET", "/api/jobs/" + id, null, 2000);
    }

    /** The answer of the first controller that gives one about the job; null if none does. */
    Map<String, Object> status(String id) {
        for (Node n : nodes) {
            Http.Answer a = poll(n, id);
            if (a != null && a.status == 200) return Json.object(a.body);
        }
        return null;
    }

    // What the workers tell.

    /** When a task that starts now ends; 0: not by itself. */
    long endOf(Worker worker, Worker.Piece piece, long now) {
        Job job = jobs.get(piece.jobId());
        return job.isDaemon() ? 0 : now + job.runMs;
    }

    /** Whether a machine fails the tasks that it starts now. */
    boolean isSick(Worker worker) {
        return false;
    }

    void onStart(Worker worker, Worker.Piece piece) {
        record.line("worker " + worker.name + ": " + piece.id + " try " + piece.attempt + " starts");
    }

    void onGone(Worker worker, Worker.Piece piece, String why) {
        record.line("worker " + worker.name + ": " + piece.id + " try " + piece.attempt + " ends, " + why);
    }

    void onOrder(Worker worker, String verb, String piece, long attempt, String from) {
        if (!verb.equals("launch")) return;
        record.line("worker " + worker.name + ": " + verb + " " + piece + " try " + attempt + " by " + from);
    }
}
