import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A worker: reports to one controller at a time and runs tasks, as the protocol describes it. */
final class Worker {
    /** An attempt on this machine. */
    static final class Piece {
        final String id;
        final long attempt;
        String stage;
        String cause;
        long readyMs;
        long endMs;

        Piece(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        String jobId() {
            return id.substring(0, id.lastIndexOf('/'));
        }

        int index() {
            return Integer.parseInt(id.substring(id.lastIndexOf('/') + 1));
        }

        boolean isOn() {
            return !stage.equals("exited");
        }
    }

    private static final long FETCH_MS = 300;
    final String name;
    final String breed;
    final String plot;
    final boolean windfall;
    private final Site site;
    private final double vcpus;
    private final double memGb;
    private final HttpServer server;
    private final int port;
    private final Random random = new Random();
    private final Map<String, Piece> pieces = new LinkedHashMap<>();
    private long shift = 1;
    private long tally = 0;
    private long baton = 0;
    private long leaseFromMs = System.currentTimeMillis();
    private long nextReportMs;
    private long lastReportMs;
    private boolean changed;
    private int target;
    private volatile boolean gone;
    /** The node that answered the last report with 200. */
    volatile String servedBy;

    Worker(Site site, String name, String breed, String plot, boolean windfall, double vcpus, double memGb) throws IOException {
        this.site = site;
        this.name = name;
        this.breed = breed;
        this.plot = plot;
        this.windfall = windfall;
        this.vcpus = vcpus;
        this.memGb = memGb;
        port = Http.freePort();
        server = Http.serve(port, this::direct);
        target = random.nextInt(site.nodes.size());
        for (Runnable r : new Runnable[] {this::reports, this::ticks}) {
            Thread t = new Thread(null, r, name, 256 * 1024);
            t.setDaemon(true);
            t.start();
        }
    }

    String endpoint() {
        return "127.0.0.1:" + port;
    }

    synchronized void end() {
        gone = true;
        for (Piece p : pieces.values()) if (p.isOn()) site.onGone(this, p, "machine gone");
        pieces.clear();
        server.stop(0);
        notifyAll();
    }

    synchronized List<Piece> pieces() {
        return new ArrayList<>(pieces.values());
    }

    /** Advances tasks and the lease. */
    private void ticks() {
        while (!gone) {
            tick();
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void tick() {
        if (gone) return;
        long now = System.currentTimeMillis();
        if (now - leaseFromMs > site.leaseMs) {
            for (Piece p : pieces.values()) if (p.isOn()) site.onGone(this, p, "lease over");
            pieces.clear();
            shift++;
            site.record.line("worker " + name + ": lease over, session " + shift);
            leaseFromMs = now;
            change();
        }
        for (Piece p : pieces.values()) {
            if (p.stage.equals("fetching") && now >= p.readyMs) {
                if (site.results.contains(p.id)) {
                    exit(p, "done");
                    continue;
                }
                p.stage = "running";
                if (site.isSick(this)) {
                    site.onStart(this, p);
                    exit(p, "error");
                    continue;
                }
                p.endMs = site.endOf(this, p, now);
                site.onStart(this, p);
                change();
            } else if (p.stage.equals("running") && p.endMs != 0 && now >= p.endMs) {
                site.results.add(p.id);
                exit(p, "done");
            }
        }
    }

    /** Whether a task that ends so many milliseconds from now is reported at once, in a report of its own. */
    synchronized boolean wouldReportAtOnce(long inMs) {
        long at = System.currentTimeMillis() + inMs;
        return !changed && at >= lastReportMs + 550 && at + 100 < nextReportMs;
    }

    /** Lets a task that runs without an end complete now. */
    synchronized void complete(String piece) {
        for (Piece p : pieces.values()) if (p.id.equals(piece) && p.stage.equals("running")) p.endMs = System.currentTimeMillis();
    }

    private void exit(Piece p, String cause) {
        boolean was = p.stage.equals("running");
        p.stage = "exited";
        p.cause = cause;
        if (was) site.onGone(this, p, cause);
        change();
    }

    private void change() {
        changed = true;
        notifyAll();
    }

    private String report() {
        tally++;
        List<Object> list = new ArrayList<>();
        for (Piece p : pieces.values()) {
            Map<String, Object> m = Json.of("piece", p.id, "try", p.attempt, "stage", p.stage);
            if (p.cause != null) m.put("cause", p.cause);
            list.add(m);
        }
        return Json.text(Json.of("picker", name, "endpoint", endpoint(), "breed", breed, "plot", plot, "windfall", windfall,
            "shift", shift, "tally", tally, "baton", baton, "warning_s", null, "pieces", list));
    }

    private void reports() {
        while (!gone) {
            String body;
            long sentMs;
            long sentShift;
            String node;
            synchronized (this) {
                while (!gone) {
                    long now = System.currentTimeMillis();
                    long due = changed ? Math.min(nextReportMs, lastReportMs + 500) : nextReportMs;
                    if (now >= due) break;
                    try {
                        wait(Math.max(1, Math.min(50, due - now)));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (gone) return;
                changed = false;
                sentMs = System.currentTimeMillis();
                lastReportMs = sentMs;
                nextReportMs = sentMs + (long) (site.reportMs * (0.75 + random.nextDouble() * 0.5));
                sentShift = shift;
                body = report();
                node = site.nodes.get(target).name;
            }
            Http.Answer a = Http.call(site.nodes.get(target).apiPort, "POST", "/checkin", body, 4000);
            long pauseMs = onAnswer(a, sentMs, sentShift, node);
            if (pauseMs > 0) {
                synchronized (this) {
                    nextReportMs = System.currentTimeMillis() + pauseMs;
                    lastReportMs = nextReportMs - 500;
                }
            }
        }
    }

    /** Returns how long to wait before the next report, or 0 for the usual time. */
    private synchronized long onAnswer(Http.Answer a, long sentMs, long sentShift, String node) {
        if (a != null && a.status == 200) {
            Map<String, Object> m = Json.object(a.body);
            if (sentShift != shift || m.get("baton") == null || Json.num(m.get("baton")) < baton) return 0;
            if (Json.num(m.get("baton")) > baton) {
                baton = Json.num(m.get("baton"));
                change();
            }
            leaseFromMs = Math.max(leaseFromMs, sentMs);
            servedBy = node;
            execute(m.get("orders"), "answer of " + node);
            return 0;
        }
        if (a != null && a.status == 421) {
            Object foreman = Json.object(a.body).get("foreman");
            for (int i = 0; i < site.nodes.size(); i++) {
                if (site.nodes.get(i).name.equals(foreman) && i != target) {
                    target = i;
                    return 1 + random.nextInt(500);
                }
            }
        }
        target = (target + 1) % site.nodes.size();
        return 1000;
    }

    private Http.Answer direct(String method, String path, String query, String body) {
        synchronized (this) {
            if (gone) return null;
            if (path.equals("/inspect")) return new Http.Answer(200, report());
            Map<String, Object> m = Json.object(body);
            if (m.get("baton") == null || m.get("shift") == null) return new Http.Answer(400, "{}");
            if (Json.num(m.get("baton")) < baton || Json.num(m.get("shift")) != shift) return new Http.Answer(409, report());
            if (Json.num(m.get("baton")) > baton) {
                baton = Json.num(m.get("baton"));
                change();
            }
            execute(m.get("orders"), "direct command");
            return new Http.Answer(200, report());
        }
    }

    private void execute(Object orders, String from) {
        for (Object o : Json.list(orders)) {
            Map<String, Object> order = Json.map(o);
            String verb = (String) order.get("verb");
            String id = (String) order.get("piece");
            long attempt = Json.num(order.get("try"));
            Piece p = pieces.get(id + "#" + attempt);
            site.onOrder(this, verb, id, attempt, from);
            if (verb.equals("launch")) {
                if (p == null) launch(id, attempt);
            } else if (verb.equals("stop")) {
                if (p != null && p.isOn()) exit(p, "stopped");
            } else if (verb.equals("reap")) {
                if (p != null && !p.isOn()) {
                    pieces.remove(id + "#" + attempt);
                    change();
                }
            }
        }
    }

    synchronized boolean hasRoomFor(Job job) {
        double cpus = job.vcpus;
        double mem = job.memGb;
        for (Piece p : pieces.values()) {
            if (!p.isOn()) continue;
            cpus += site.jobs.get(p.jobId()).vcpus;
            mem += site.jobs.get(p.jobId()).memGb;
        }
        return cpus <= vcpus + 1e-6 && mem <= memGb + 1e-6;
    }

    private void launch(String id, long attempt) {
        Piece p = new Piece(id, attempt);
        Job job = site.jobs.get(p.jobId());
        double cpus = 0;
        double mem = 0;
        boolean inUse = false;
        for (Piece other : pieces.values()) {
            if (!other.isOn()) continue;
            cpus += site.jobs.get(other.jobId()).vcpus;
            mem += site.jobs.get(other.jobId()).memGb;
            if (other.id.equals(id)) inUse = true;
        }
        p.stage = "exited";
        if (job == null || p.index() >= job.pieces) p.cause = "unknown";
        else if (inUse) p.cause = "in_use";
        else if (cpus + job.vcpus > vcpus + 1e-6 || mem + job.memGb > memGb + 1e-6) p.cause = "full";
        else {
            p.stage = "fetching";
            p.readyMs = System.currentTimeMillis() + FETCH_MS;
        }
        pieces.put(id + "#" + attempt, p);
        change();
    }
}
