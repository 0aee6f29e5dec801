import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** The cloud of PROTOCOL: types, rentals, releases, and a list that lags. Its machines are [Worker]s. */
final class Cloud {
    /** A machine type. */
    static final class Type {
        final String name;
        final double cpus;
        final double memoryGb;
        final double rate;
        final double spotRate;
        final double startupS;
        final String[] zones;

        Type(String name, double cpus, double memoryGb, double rate, double spotRate, double startupS, String... zones) {
            this.name = name;
            this.cpus = cpus;
            this.memoryGb = memoryGb;
            this.rate = rate;
            this.spotRate = spotRate;
            this.startupS = startupS;
            this.zones = zones;
        }
    }

    /** What a rental asks for. */
    static final class Offer {
        final Type type;
        final String zone;
        final boolean spot;

        Offer(Type type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
        }

        @Override
        public String toString() {
            return type.name + " " + zone + (spot ? " spot" : " ordinary");
        }
    }

    /** What the platform does with the machines that the cloud rents out. */
    interface Host {
        /** The endpoint of a new machine, which is not up yet. */
        String newEndpoint(String id, Offer offer);

        /** The machine is up. */
        void boot(String id, Offer offer, String endpoint);

        /** The machine is gone, with all that is on it. */
        void gone(String id);

        /** How many machines of this offer are to be had now. */
        int capacity(Offer offer);

        /** The time from the request to the machine being up. */
        double bootS(Offer offer);
    }

    private static final class Machine {
        final Offer offer;
        final String endpoint;
        final double requestedS = Record.now();
        String stage = "booting";

        Machine(Offer offer, String endpoint) {
            this.offer = offer;
            this.endpoint = endpoint;
        }
    }

    private static final class Listing {
        final double atS;
        final List<Map<String, Object>> machines;

        Listing(double atS, List<Map<String, Object>> machines) {
            this.atS = atS;
            this.machines = machines;
        }
    }

    private final List<Type> types;
    private final Host host;
    private final double lagS;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, String> answers = new HashMap<>();
    private final ArrayDeque<Listing> listings = new ArrayDeque<>();
    private final Random random = new Random(1);
    private final HttpServer server;
    private int named;

    Cloud(List<Type> types, double lagS, Host host) throws IOException {
        this.types = types;
        this.lagS = lagS;
        this.host = host;
        server = Http.serve("127.0.0.1", this::handle);
        Thread lister = new Thread(this::record, "listings");
        lister.setDaemon(true);
        lister.start();
    }

    String address() {
        return Http.address(server);
    }

    private void record() {
        while (true) {
            synchronized (this) {
                List<Map<String, Object>> all = new ArrayList<>();
                machines.forEach((id, machine) -> all.add(Json.of("id", id, "endpoint", machine.endpoint, "breed", machine.offer.type.name,
                    "plot", machine.offer.zone, "windfall", machine.offer.spot, "stage", machine.stage, "age_s", Record.now() - machine.requestedS)));
                listings.addLast(new Listing(Record.now(), all));
                while (listings.peekFirst().atS < Record.now() - lagS * 2) listings.removeFirst();
            }
            pause(0.25);
        }
    }

    static void pause(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(Http.Request request) {
        if (request.path.equals("/machine_types")) types(request);
        else if (request.path.equals("/rentals/release")) release(request);
        else if (request.path.equals("/rentals") && request.method.equals("POST")) rent(request);
        else if (request.path.equals("/rentals")) list(request);
        else request.reply(400, "{}");
    }

    private void types(Http.Request request) {
        List<Object> breeds = new ArrayList<>();
        for (Type type : types) {
            breeds.add(Json.of("name", type.name, "vcpus", type.cpus, "cards", 0.0, "mem_gb", type.memoryGb, "local_gb", 30.0, "pull_gb_per_s", 0.6,
                "rate", type.rate, "spot_price", type.spotRate, "startup_s", type.startupS, "plots", List.of(type.zones)));
        }
        request.reply(200, Json.write(Json.of("breeds", breeds)));
    }

    private void rent(Http.Request request) {
        Map<String, Object> body = Json.object(request.body());
        String hire = (String) body.get("hire");
        String answer;
        List<String> ids = new ArrayList<>();
        Offer offer = null;
        synchronized (this) {
            answer = answers.get(hire);
            if (answer == null) {
                for (Type type : types) {
                    if (type.name.equals(body.get("breed"))) offer = new Offer(type, (String) body.get("plot"), (Boolean) body.get("windfall"));
                }
                int wanted = Math.min(50, ((Number) body.get("number")).intValue());
                int granted = offer == null ? 0 : Math.min(wanted, host.capacity(offer));
                if (granted > 0) {
                    for (int i = 0; i < granted; i++) {
                        String id = String.format("host-%06d", ++named);
                        machines.put(id, new Machine(offer, host.newEndpoint(id, offer)));
                        ids.add(id);
                    }
                    answer = Json.write(Json.of("pickers", ids));
                    answers.put(hire, answer);
                }
            }
        }
        for (String id : ids) {
            Record.line("cloud: rented " + id + " " + offer + " endpoint " + endpoint(id));
            Offer rented = offer;
            Http.THREADS.execute(() -> {
                pause(host.bootS(rented));
                bootNow(id);
            });
        }
        if (answer == null) request.reply(503, "{\"error\":\"no capacity\"}");
        else request.reply(200, answer);
    }

    private void bootNow(String id) {
        Machine machine;
        synchronized (this) {
            machine = machines.get(id);
            if (machine == null) return;
            machine.stage = "running";
        }
        Record.line("cloud: " + id + " is up");
        host.boot(id, machine.offer, machine.endpoint);
    }

    synchronized String endpoint(String id) {
        Machine machine = machines.get(id);
        return machine == null ? null : machine.endpoint;
    }

    /** Takes a spot machine back without a notice. */
    void take(String id) {
        synchronized (this) {
            machines.remove(id);
        }
        Record.line("cloud: takes " + id + " back without a notice");
        host.gone(id);
    }

    private void release(Http.Request request) {
        List<String> ids = new ArrayList<>();
        for (Object id : (Iterable<?>) Json.object(request.body()).get("pickers")) {
            synchronized (this) {
                if (machines.remove((String) id) != null) ids.add((String) id);
            }
        }
        for (String id : ids) {
            Record.line("cloud: released " + id);
            host.gone(id);
        }
        request.reply(200, "{}");
    }

    private void list(Http.Request request) {
        String since = request.parameter("since", "");
        int limit = Math.min(500, Integer.parseInt(request.parameter("limit", "500")));
        List<Object> page = new ArrayList<>();
        boolean more = false;
        synchronized (this) {
            // As old as the lag, and sometimes up to twice that.
            double at = Record.now() - lagS * (random.nextInt(5) == 0 ? 1 + random.nextDouble() : 1);
            Listing shown = null;
            for (Iterator<Listing> it = listings.iterator(); it.hasNext();) {
                Listing listing = it.next();
                if (shown == null || listing.atS <= at) shown = listing;
            }
            if (shown == null || shown.atS > at + 0.5) shown = new Listing(0, List.of());
            for (Map<String, Object> machine : shown.machines) {
                if (((String) machine.get("id")).compareTo(since) <= 0) continue;
                if (page.size() == limit) {
                    more = true;
                    break;
                }
                page.add(machine);
            }
        }
        request.reply(200, Json.write(Json.of("pickers", page, "has_next", more)));
    }
}
