import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service, as the protocol describes it. Each controller has an address of its own, so that faults can be given to one. */
final class StateService {
    /** Faults of one controller's requests. */
    static final class Link {
        final String node;
        final int port;
        /** Every answer is sent this much later than usual. */
        volatile long slowMs;
        /** 503 to every request; open watches wait. */
        volatile boolean refused;

        Link(String node, int port) {
            this.node = node;
            this.port = port;
        }
    }

    private static final class Entry {
        Object value;
        long stamp;
        Long tenure;
    }

    private static final class Lease {
        long ttlMs;
        long untilMs;
    }

    private static final class Change {
        long stamp;
        String key;
        Object value;
        boolean drop;
    }

    private static final int KEPT_CHANGES = 10_000;
    private final Record record;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> log = new ArrayDeque<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final double rps;
    private double writeRps;
    private double valueKb;
    private int txnOps;
    private long revision = 100;
    private long lastLease = 0;
    private double requestTokens;
    private double writeTokens;
    private long filledMs = System.currentTimeMillis();
    volatile long baseMs = 3;
    private volatile boolean down;

    StateService(Record record, double rps, double writeRps, double valueKb, int txnOps) {
        this.record = record;
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        Thread t = new Thread(this::expire, "leases");
        t.setDaemon(true);
        t.start();
    }

    synchronized void lowerLimits(double writeRps, double valueKb, int txnOps) {
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
    }

    Link link(String node) throws IOException {
        Link link = new Link(node, Http.freePort());
        servers.add(Http.serve(link.port, (method, path, query, body) -> handle(link, method, path, query, body)));
        return link;
    }

    void stop() {
        servers.forEach(s -> s.stop(0));
    }

    /** An outage: every controller gets 503, watches wait, and afterwards every lease has its full time again. */
    synchronized void setDown(boolean down) {
        this.down = down;
        if (!down) renewAll();
        notifyAll();
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.currentTimeMillis();
                if (down) continue;
                for (Long id : new ArrayList<>(leases.keySet())) if (leases.get(id).untilMs < now) end(id);
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> gone = new ArrayList<>();
        entries.forEach((k, e) -> {
            if (e.tenure != null && e.tenure == id) gone.add(k);
        });
        if (gone.isEmpty()) return;
        revision++;
        for (String key : gone) {
            entries.remove(key);
            remember(key, null, true);
        }
        record.line("state: lease " + id + " ended, keys removed " + gone);
        notifyAll();
    }

    private void remember(String key, Object value, boolean drop) {
        Change c = new Change();
        c.stamp = revision;
        c.key = key;
        c.value = value;
        c.drop = drop;
        log.add(c);
        if (log.size() > KEPT_CHANGES) log.poll();
    }

    private Http.Answer handle(Link link, String method, String path, String query, String body) throws Exception {
        Thread.sleep(baseMs);
        Http.Answer answer;
        if ((down || link.refused) && !path.equals("/follow")) answer = new Http.Answer(503, "{\"error\":\"trouble\"}");
        else answer = dispatch(link, method, path, query, body);
        if (link.slowMs > 0) Thread.sleep(link.slowMs);
        return answer;
    }

    private synchronized boolean takeRequest() {
        long now = System.currentTimeMillis();
        double s = (now - filledMs) / 1000.0;
        filledMs = now;
        requestTokens = Math.min(rps, requestTokens + s * rps);
        writeTokens = Math.min(writeRps, writeTokens + s * writeRps);
        if (requestTokens < 1) return false;
        requestTokens -= 1;
        return true;
    }

    private Http.Answer dispatch(Link link, String method, String path, String query, String body) throws Exception {
        if (!takeRequest()) return new Http.Answer(429, "{\"error\":\"too many requests\"}");
        Map<String, String> q = query(query);
        if (path.equals("/keys")) return page(q);
        if (path.startsWith("/keys/")) return get(path.substring(6));
        if (path.equals("/follow")) return follow(link, q);
        if (path.equals("/multi")) return multi(link, body);
        if (path.equals("/leases")) return grant(body);
        if (path.startsWith("/leases/")) return lease(method, path.substring(8));
        return new Http.Answer(404, "{}");
    }

    private static Map<String, String> query(String text) {
        Map<String, String> q = new HashMap<>();
        for (String part : text.split("&")) {
            int at = part.indexOf('=');
            if (at > 0) q.put(part.substring(0, at), part.substring(at + 1));
        }
        return q;
    }

    private synchronized Http.Answer get(String key) {
        Entry e = entries.get(key);
        if (e == null) return new Http.Answer(404, Json.text(Json.of("ledger_rev", revision)));
        Map<String, Object> m = Json.of("key", key, "v", e.value, "stamp", e.stamp);
        if (e.tenure != null) m.put("tenure", e.tenure);
        return new Http.Answer(200, Json.text(m));
    }

    private synchronized Http.Answer page(Map<String, String> q) {
        String under = q.getOrDefault("under", "");
        int limit = Math.min(1000, Integer.parseInt(q.getOrDefault("limit", "1000")));
        String since = q.get("since");
        List<Object> pairs = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> e : (since == null ? entries.tailMap(under, true) : entries.tailMap(since, false)).entrySet()) {
            if (!e.getKey().startsWith(under)) {
                if (e.getKey().compareTo(under) > 0) break;
                continue;
            }
            Map<String, Object> pair = Json.of("key", e.getKey(), "v", e.getValue().value, "stamp", e.getValue().stamp);
            int size = Json.text(pair).length();
            if (pairs.size() >= limit || bytes + size > 500 * 1024) {
                more = true;
                break;
            }
            bytes += size;
            pairs.add(pair);
        }
        return new Http.Answer(200, Json.text(Json.of("pairs", pairs, "has_next", more, "ledger_rev", revision)));
    }

    private synchronized Http.Answer follow(Link link, Map<String, String> q) throws InterruptedException {
        String under = q.getOrDefault("under", "");
        long since = Long.parseLong(q.get("since"));
        long until = System.currentTimeMillis() + Math.min(60_000, Long.parseLong(q.getOrDefault("wait_ms", "0")));
        if ((down || link.refused) && until - System.currentTimeMillis() < 1) return new Http.Answer(503, "{\"error\":\"trouble\"}");
        while (true) {
            if (!down && !link.refused) {
                if (log.size() >= KEPT_CHANGES && log.peek().stamp > since + 1) return new Http.Answer(410, "{}");
                Map<String, Map<String, Object>> found = new LinkedHashMap<>();
                List<Object> changes = new ArrayList<>();
                for (Change c : log) {
                    if (c.stamp <= since || !c.key.startsWith(under)) continue;
                    changes.add(c.drop ? Json.of("drop", c.key, "stamp", c.stamp) : Json.of("write", c.key, "v", c.value, "stamp", c.stamp));
                }
                if (!changes.isEmpty() || System.currentTimeMillis() >= until)
                    return new Http.Answer(200, Json.text(Json.of("ledger_rev", revision, "log", changes)));
            }
            wait(Math.max(1, Math.min(100, until - System.currentTimeMillis())));
        }
    }

    private synchronized Http.Answer multi(Link link, String body) {
        Map<String, Object> t = Json.object(body);
        List<Object> guards = Json.list(t.get("guards"));
        List<Object> changes = Json.list(t.get("apply"));
        if (writeTokens < changes.size()) {
            record.line("state: " + link.node + " multi " + summary(changes) + " -> 429");
            return new Http.Answer(429, "{\"error\":\"too many writes\"}");
        }
        writeTokens -= changes.size();
        if (changes.size() > txnOps || guards.size() > 4 * txnOps || body.length() > 64 * 1024)
            return new Http.Answer(400, "{\"error\":\"transaction too large\"}");
        Set<Long> used = new HashSet<>();
        for (Object o : changes) {
            Map<String, Object> c = Json.map(o);
            if (c.get("write") != null && Json.text(c.get("v")).length() > valueKb * 1024) {
                record.line("state: " + link.node + " multi " + summary(changes) + " -> 400 value too large " + c.get("write"));
                return new Http.Answer(400, "{\"error\":\"value too large\"}");
            }
            if (c.get("write") != null && c.get("tenure") != null) used.add(Json.num(c.get("tenure")));
        }
        for (Long id : used) if (!leases.containsKey(id)) return new Http.Answer(400, "{\"error\":\"no such lease\"}");
        List<Object> failed = new ArrayList<>();
        for (Object o : guards) {
            Map<String, Object> g = Json.map(o);
            Entry e = entries.get((String) g.get("key"));
            if ((e == null ? 0 : e.stamp) != Json.num(g.get("stamp"))) failed.add(g.get("key"));
        }
        if (!failed.isEmpty()) {
            record.line("state: " + link.node + " multi " + summary(changes) + " -> 409 failed " + failed);
            return new Http.Answer(409, Json.text(Json.of("failed", failed, "ledger_rev", revision)));
        }
        if (!changes.isEmpty()) revision++;
        for (Object o : changes) {
            Map<String, Object> c = Json.map(o);
            String key = (String) c.get("write");
            if (key == null) {
                key = (String) c.get("drop");
                if (entries.remove(key) != null) remember(key, null, true);
                continue;
            }
            Entry e = new Entry();
            e.value = c.get("v");
            e.stamp = revision;
            e.tenure = c.get("tenure") == null ? null : (Long) c.get("tenure");
            entries.put(key, e);
            remember(key, e.value, false);
        }
        notifyAll();
        record.line("state: " + link.node + " multi " + summary(changes) + " -> 200 rev " + revision);
        return new Http.Answer(200, Json.text(Json.of("ledger_rev", revision)));
    }

    private static String summary(List<Object> changes) {
        StringBuilder b = new StringBuilder("[");
        for (Object o : changes) {
            Map<String, Object> c = Json.map(o);
            if (b.length() > 1) b.append(' ');
            if (c.get("write") != null) b.append(c.get("write")).append('(').append(Json.text(c.get("v")).length()).append(')');
            else b.append('-').append(c.get("drop"));
        }
        return b.append(']').toString();
    }

    private synchronized Http.Answer grant(String body) {
        Lease l = new Lease();
        l.ttlMs = Json.num(Json.object(body).get("ttl_ms"));
        l.untilMs = System.currentTimeMillis() + l.ttlMs;
        leases.put(++lastLease, l);
        return new Http.Answer(200, Json.text(Json.of("tenure", lastLease)));
    }

    private synchronized Http.Answer lease(String method, String rest) {
        long id = Long.parseLong(rest.split("/")[0]);
        Lease l = leases.get(id);
        if (l == null) return new Http.Answer(404, "{}");
        if (method.equals("DELETE")) end(id);
        else l.untilMs = System.currentTimeMillis() + l.ttlMs;
        return new Http.Answer(200, "{}");
    }

    /** After an outage every lease has its full time again. */
    synchronized void renewAll() {
        long now = System.currentTimeMillis();
        leases.values().forEach(l -> l.untilMs = now + l.ttlMs);
        notifyAll();
    }
}
