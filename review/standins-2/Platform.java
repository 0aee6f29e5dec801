import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Machines with their workers: starts a worker when the cloud says that a machine is up, and serves its endpoint. */
class Platform implements Cloud.Host, Worker.Observer {
    /** An address at which a worker may be served. Without one it takes connections and says nothing, like a machine without power. */
    final class Endpoint {
        final HttpServer server;
        volatile Worker worker;
        private final List<Http.Request> unanswered = new ArrayList<>();

        Endpoint() throws IOException {
            server = Http.serve("127.0.0.1", this::handle);
        }

        String address() {
            return Http.address(server);
        }

        private void handle(Http.Request request) {
            Worker served = worker;
            if (served == null || served.hasEnded()) {
                synchronized (unanswered) {
                    unanswered.add(request);
                }
            } else if (request.path.equals("/commands")) {
                served.commands(request);
            } else {
                served.inspect(request);
            }
        }

        /** From now on the address is that of another machine, which knows nothing of older connections. */
        void give(Worker other) {
            synchronized (unanswered) {
                unanswered.forEach(Http.Request::drop);
                unanswered.clear();
            }
            worker = other;
        }
    }

    final Controllers.Site site;
    Controllers controllers;
    final Map<String, Worker.Spec> specs = new ConcurrentHashMap<>();
    final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();

    /** Pieces that are on a machine now, with the machine. */
    final Map<String, String> running = new HashMap<>();

    /** How often each piece was started. */
    final Map<String, Integer> starts = new TreeMap<>();
    final Map<String, String> lastEnd = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    final List<String> refusals = new ArrayList<>();

    Platform(Controllers.Site site) {
        this.site = site;
    }

    Endpoint fresh(String id) {
        try {
            Endpoint endpoint = new Endpoint();
            endpoints.put(id, endpoint);
            return endpoint;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public String newEndpoint(String id, Cloud.Offer offer) {
        return fresh(id).address();
    }

    @Override
    public void boot(String id, Cloud.Offer offer, String endpoint) {
        Worker worker = new Worker(id, endpoint, offer, controllers, site.reportS, site.leaseS, this);
        workers.put(id, worker);
        endpoints.get(id).give(worker);
        worker.start();
    }

    @Override
    public void gone(String id) {
        Worker worker = workers.get(id);
        if (worker != null) worker.end();
    }

    @Override
    public int capacity(Cloud.Offer offer) {
        return 50;
    }

    @Override
    public double bootS(Cloud.Offer offer) {
        return 1.5;
    }

    @Override
    public Worker.Spec spec(String job) {
        return specs.get(job);
    }

    @Override
    public synchronized void started(Worker worker, String piece, long attempt) {
        if (!Worker.TERSE) Record.line(worker.id + ": " + piece + "#" + attempt + " is on the machine");
        starts.merge(piece, 1, Integer::sum);
        String other = running.put(piece, worker.id);
        if (other != null) violations.add(String.format("%.1f ran_twice: %s starts on %s while it is on %s", Record.now(), piece, worker.id, other));
        check(worker, piece);
    }

    /** Further rules for a start. */
    void check(Worker worker, String piece) {
    }

    @Override
    public synchronized void ended(Worker worker, String piece, long attempt, String cause) {
        if (!Worker.TERSE) Record.line(worker.id + ": " + piece + "#" + attempt + " ends: " + cause);
        running.remove(piece, worker.id);
        lastEnd.put(piece, cause);
    }

    @Override
    public synchronized void refused(Worker worker, String what) {
        Record.line(worker.id + ": " + what);
        refusals.add(worker.id + ": " + what);
    }
}
