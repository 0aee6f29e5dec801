import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud, as the protocol describes it: two machine types, each in every zone, and machines that boot in a few seconds. */
final class Cloud {
    private static final class Machine {
        String id;
        String breed;
        String plot;
        boolean windfall;
        long rentedMs;
        long upMs;
        long goneMs = Long.MAX_VALUE;
        Worker worker;
    }

    private final Site site;
    private final long lagMs;
    private final double rps;
    private final long bootMs;
    private final Map<String, double[]> breeds = new TreeMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, String> granted = new HashMap<>();
    private HttpServer server;
    final int port;
    private double tokens;
    private long filledMs = System.currentTimeMillis();
    private int last = 0;

    Cloud(Site site, double rps, long lagMs, long bootMs) throws IOException {
        this.site = site;
        this.rps = rps;
        this.lagMs = lagMs;
        this.bootMs = bootMs;
        tokens = rps * 2;
        port = Http.freePort();
    }

    /** Adds a machine type: CPUs, memory in GB. */
    void breed(String name, double vcpus, double memGb, double rate) {
        breeds.put(name, new double[] {vcpus, memGb, rate});
    }

    void start() throws IOException {
        server = Http.serve(port, this::handle);
        Thread t = new Thread(this::boot, "boots");
        t.setDaemon(true);
        t.start();
    }

    synchronized List<Worker> workers() {
        List<Worker> up = new ArrayList<>();
        for (Machine m : machines.values()) if (m.worker != null && m.goneMs == Long.MAX_VALUE) up.add(m.worker);
        return up;
    }

    private void boot() {
        while (true) {
            synchronized (this) {
                long now = System.currentTimeMillis();
                for (Machine m : machines.values()) {
                    if (m.worker == null && m.upMs <= now && m.goneMs == Long.MAX_VALUE) {
                        try {
                            double[] size = breeds.get(m.breed);
                            m.worker = new Worker(site, m.id, m.breed, m.plot, m.windfall, size[0], size[1]);
                            site.record.line("cloud: " + m.id + " is up, " + m.breed + " in " + m.plot + (m.windfall ? ", spot" : ""));
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    }
                }
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized Http.Answer handle(String method, String path, String query, String body) {
        long now = System.currentTimeMillis();
        tokens = Math.min(rps * 2, tokens + (now - filledMs) / 1000.0 * rps);
        filledMs = now;
        if (tokens < 1) return new Http.Answer(429, "{\"error\":\"too many requests\"}");
        tokens -= 1;
        if (path.equals("/machine_types")) return types();
        if (path.equals("/rentals") && method.equals("POST")) return rent(Json.object(body), now);
        if (path.equals("/rentals/release")) return release(Json.object(body), now);
        if (path.equals("/rentals")) return list(query, now);
        return new Http.Answer(404, "{}");
    }

    private Http.Answer types() {
        List<Object> list = new ArrayList<>();
        breeds.forEach((name, size) -> list.add(Json.of("name", name, "vcpus", size[0], "cards", 0, "mem_gb", size[1], "local_gb", 200.0,
            "pull_gb_per_s", 4.0, "rate", size[2], "spot_price", size[2] / 4, "startup_s", bootMs / 1000.0, "plots", site.zones)));
        return new Http.Answer(200, Json.text(Json.of("breeds", list)));
    }

    private Http.Answer rent(Map<String, Object> r, long now) {
        String hire = (String) r.get("hire");
        String before = granted.get(hire);
        if (before != null) return new Http.Answer(200, before);
        List<Object> names = new ArrayList<>();
        for (long k = 0; k < Math.min(50, Json.num(r.get("number"))); k++) {
            Machine m = new Machine();
            m.id = String.format("host-%06d", ++last);
            m.breed = (String) r.get("breed");
            m.plot = (String) r.get("plot");
            m.windfall = (Boolean) r.get("windfall");
            m.rentedMs = now;
            m.upMs = now + bootMs;
            machines.put(m.id, m);
            names.add(m.id);
        }
        site.record.line("cloud: rental " + hire + " of " + r.get("breed") + " in " + r.get("plot") + " -> " + names);
        String answer = Json.text(Json.of("pickers", names));
        granted.put(hire, answer);
        return new Http.Answer(200, answer);
    }

    private Http.Answer release(Map<String, Object> r, long now) {
        for (Object o : Json.list(r.get("pickers"))) {
            Machine m = machines.get(o);
            if (m == null || m.goneMs != Long.MAX_VALUE) continue;
            m.goneMs = now;
            if (m.worker != null) m.worker.end();
            site.record.line("cloud: " + m.id + " released");
        }
        return new Http.Answer(200, "{}");
    }

    private Http.Answer list(String query, long now) {
        String since = "";
        int limit = 500;
        for (String part : query.split("&")) {
            if (part.startsWith("since=")) since = part.substring(6);
            if (part.startsWith("limit=")) limit = Math.min(500, Integer.parseInt(part.substring(6)));
        }
        long at = now - lagMs;
        List<Object> list = new ArrayList<>();
        boolean more = false;
        for (Machine m : machines.tailMap(since, false).values()) {
            if (m.rentedMs > at || m.goneMs <= at) continue;
            if (list.size() >= limit) {
                more = true;
                break;
            }
            Map<String, Object> e = Json.of("id", m.id);
            if (m.worker != null) e.put("endpoint", m.worker.endpoint());
            e.put("breed", m.breed);
            e.put("plot", m.plot);
            e.put("windfall", m.windfall);
            e.put("stage", m.upMs <= at ? "running" : "booting");
            e.put("age_s", (at - m.rentedMs) / 1000.0);
            list.add(e);
        }
        return new Http.Answer(200, Json.text(Json.of("pickers", list, "has_next", more)));
    }
}
