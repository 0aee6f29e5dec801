import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL: keys, transactions, leases, watches, limits. */
final class StateService {
    private static final class Item {
        final String value;
        final long stamp;
        final long lease;

        Item(String value, long stamp, long lease) {
            this.value = value;
            this.stamp = stamp;
            this.lease = lease;
        }
    }

    private static final class Lease {
        final long ttlNs;
        long endsNs;

        Lease(long ttlNs) {
            this.ttlNs = ttlNs;
            touch();
        }

        void touch() {
            endsNs = System.nanoTime() + ttlNs;
        }
    }

    private static final class Event {
        final String key;
        final String value;
        final long stamp;

        Event(String key, String value, long stamp) {
            this.key = key;
            this.value = value;
            this.stamp = stamp;
        }
    }

    /** A limit a second, with bursts of one second's worth. */
    private static final class Bucket {
        final double perSecond;
        double tokens;
        long atNs = System.nanoTime();

        Bucket(double perSecond) {
            this.perSecond = perSecond;
            tokens = perSecond;
        }

        boolean take(double count) {
            long now = System.nanoTime();
            tokens = Math.min(perSecond, tokens + (now - atNs) / 1e9 * perSecond);
            atNs = now;
            if (tokens < count) return false;
            tokens -= count;
            return true;
        }
    }

    private static final int KEPT_CHANGES = 10_000;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Event> log = new ArrayDeque<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int ops;
    private long revision;
    private long dropped;
    private long lastLease;
    private final HttpServer server;

    StateService(double rps, double writeRps, double valueKb, int ops) throws IOException {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        this.ops = ops;
        server = Http.serve("127.0.0.1", this::handle);
        Thread sweeper = new Thread(this::sweep, "leases");
        sweeper.setDaemon(true);
        sweeper.start();
    }

    String address() {
        return Http.address(server);
    }

    /** Stores a key as if it had been written before, each with a revision of its own. */
    synchronized void preset(String key, String value) {
        items.put(key, new Item(value, ++revision, 0));
        dropped = revision;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    synchronized Map<String, String> under(String prefix) {
        Map<String, String> found = new LinkedHashMap<>();
        for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            found.put(entry.getKey(), entry.getValue().value);
        }
        return found;
    }

    private void sweep() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (Long id : new ArrayList<>(leases.keySet())) {
                    if (leases.get(id).endsNs < now) end(id);
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease == lease) keys.add(key);
        });
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(key -> apply(key, null, 0));
        notifyAll();
    }

    private void apply(String key, String value, long lease) {
        if (value == null) items.remove(key);
        else items.put(key, new Item(value, revision, lease));
        log.addLast(new Event(key, value, revision));
        while (log.size() > KEPT_CHANGES) dropped = log.removeFirst().stamp;
    }

    private void handle(Http.Request request) throws Exception {
        boolean served;
        synchronized (this) {
            served = requests.take(1);
        }
        if (!served) {
            request.reply(429, "{}");
            return;
        }
        String path = request.path;
        if (path.equals("/multi")) transact(request);
        else if (path.equals("/follow")) follow(request);
        else if (path.equals("/leases")) grant(request);
        else if (path.startsWith("/leases/")) touch(request);
        else if (path.equals("/keys")) page(request);
        else if (path.startsWith("/keys/")) one(request, path.substring("/keys/".length()));
        else request.reply(400, "{}");
    }

    private void one(Http.Request request, String key) {
        String answer;
        int status = 200;
        synchronized (this) {
            Item item = items.get(key);
            if (item == null) {
                status = 404;
                answer = "{\"ledger_rev\":" + revision + "}";
            } else {
                answer = "{\"key\":" + Json.write(key) + ",\"v\":" + item.value + ",\"stamp\":" + item.stamp + "}";
            }
        }
        request.reply(status, answer);
    }

    private void page(Http.Request request) {
        String under = request.parameter("under", "");
        String since = request.parameter("since", "");
        int limit = Math.min(1000, Integer.parseInt(request.parameter("limit", "1000")));
        StringBuilder out = new StringBuilder("{\"pairs\":[");
        synchronized (this) {
            int count = 0;
            boolean more = false;
            for (Map.Entry<String, Item> entry : items.tailMap(since.compareTo(under) > 0 ? since : under, since.isEmpty()).entrySet()) {
                if (!entry.getKey().startsWith(under)) break;
                Item item = entry.getValue();
                if (count == limit || out.length() + item.value.length() > 500 * 1024) {
                    more = true;
                    break;
                }
                out.append(count++ == 0 ? "" : ",").append("{\"key\":").append(Json.write(entry.getKey()));
                out.append(",\"v\":").append(item.value).append(",\"stamp\":").append(item.stamp).append('}');
            }
            out.append("],\"has_next\":").append(more).append(",\"ledger_rev\":").append(revision).append('}');
        }
        request.reply(200, out.toString());
    }

    private void follow(Http.Request request) throws InterruptedException {
        long since = Long.parseLong(request.parameter("since", "0"));
        String under = request.parameter("under", "");
        long until = System.nanoTime() + Long.parseLong(request.parameter("wait_ms", "0")) * 1_000_000;
        StringBuilder out = new StringBuilder();
        synchronized (this) {
            while (true) {
                if (since < dropped) break;
                out.setLength(0);
                out.append("{\"ledger_rev\":").append(revision).append(",\"log\":[");
                int count = 0;
                for (Event event : log) {
                    if (event.stamp <= since || !event.key.startsWith(under)) continue;
                    out.append(count++ == 0 ? "" : ",").append(event.value == null ? "{\"drop\":" : "{\"write\":");
                    out.append(Json.write(event.key));
                    if (event.value != null) out.append(",\"v\":").append(event.value);
                    out.append(",\"stamp\":").append(event.stamp).append('}');
                }
                out.append("]}");
                long left = (until - System.nanoTime()) / 1_000_000;
                if (count > 0 || left <= 0) break;
                wait(left);
            }
            if (since < dropped) out.setLength(0);
        }
        if (out.length() == 0) request.reply(410, "{}");
        else request.reply(200, out.toString());
    }

    private void grant(Http.Request request) {
        long ttlMs = ((Number) Json.object(request.body()).get("ttl_ms")).longValue();
        long id;
        synchronized (this) {
            id = ++lastLease;
            leases.put(id, new Lease(ttlMs * 1_000_000));
        }
        request.reply(200, "{\"tenure\":" + id + "}");
    }

    private void touch(Http.Request request) {
        long id = Long.parseLong(request.path.split("/")[2]);
        boolean known;
        synchronized (this) {
            Lease lease = leases.get(id);
            known = lease != null;
            if (known && request.method.equals("DELETE")) {
                end(id);
            } else if (known) {
                lease.touch();
            }
        }
        request.reply(known ? 200 : 404, "{}");
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Request request) {
        if (request.bytes.length > 64 * 1024) {
            request.reply(400, "{\"error\":\"too large\"}");
            return;
        }
        Map<String, Object> body = Json.object(request.body());
        List<Object> guards = (List<Object>) body.getOrDefault("guards", new ArrayList<>());
        List<Object> changes = (List<Object>) body.getOrDefault("apply", new ArrayList<>());
        int status;
        String answer;
        synchronized (this) {
            String error = null;
            if (changes.size() > ops || guards.size() > ops * 4) error = "too many";
            List<String> failed = new ArrayList<>();
            for (Object element : guards) {
                Map<String, Object> guard = (Map<String, Object>) element;
                Item item = items.get((String) guard.get("key"));
                long stamp = item == null ? 0 : item.stamp;
                if (stamp != ((Number) guard.get("stamp")).longValue()) failed.add((String) guard.get("key"));
            }
            for (Object element : changes) {
                Map<String, Object> change = (Map<String, Object>) element;
                Object lease = change.get("tenure");
                if (lease != null && !leases.containsKey(((Number) lease).longValue())) error = "no such lease";
                if (change.get("write") != null && Json.write(change.get("v")).getBytes(StandardCharsets.UTF_8).length > valueBytes) error = "value";
            }
            if (error != null) {
                status = 400;
                answer = "{\"error\":\"" + error + "\"}";
            } else if (!writes.take(changes.size())) {
                status = 429;
                answer = "{}";
            } else if (!failed.isEmpty()) {
                status = 409;
                answer = Json.write(Json.of("failed", failed, "ledger_rev", revision));
            } else {
                if (!changes.isEmpty()) revision++;
                for (Object element : changes) {
                    Map<String, Object> change = (Map<String, Object>) element;
                    if (change.get("write") == null) {
                        apply((String) change.get("drop"), null, 0);
                    } else {
                        Object lease = change.get("tenure");
                        apply((String) change.get("write"), Json.write(change.get("v")), lease == null ? 0 : ((Number) lease).longValue());
                    }
                }
                status = 200;
                answer = "{\"ledger_rev\":" + revision + "}";
                notifyAll();
            }
        }
        request.reply(status, answer);
    }
}
