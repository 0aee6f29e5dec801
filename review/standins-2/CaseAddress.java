import java.util.List;
import java.util.Map;

/** A spot machine is taken back without a notice, and the next machine gets its address. */
public class CaseAddress extends Case {
    private static final String FIRST = "req-000001";
    private static final String SECOND = "req-000002";
    private volatile String firstMachine;
    private volatile boolean isTaken;

    private final class Machines extends Platform {
        private boolean hasFirst;
        private boolean hasSecond;

        Machines(Controllers.Site site) {
            super(site);
        }

        @Override
        public String newEndpoint(String id, Cloud.Offer offer) {
            if (firstMachine == null) firstMachine = id;
            if (!isTaken) return super.newEndpoint(id, offer);
            Endpoint old = endpoints.get(firstMachine);
            endpoints.put(id, old);
            return old.address();
        }

        @Override
        public synchronized int capacity(Cloud.Offer offer) {
            if (!offer.spot || !offer.zone.equals("blue-mountain")) return 0;
            if (offer.type.name.equals("breadfruit") && !hasFirst) {
                hasFirst = true;
                return 1;
            }
            if (offer.type.name.equals("ackee") && !hasSecond) {
                hasSecond = true;
                return 1;
            }
            return 0;
        }

        @Override
        void check(Worker worker, String piece) {
            String job = piece.substring(0, piece.indexOf('/'));
            String allowed = job.equals(FIRST) ? "breadfruit" : "ackee";
            if (worker.offer.type.name.equals(allowed)) return;
            violations.add(String.format("%.3f wrong_place: %s, allowed on %s, starts on %s, which is %s", Record.now(), piece, allowed, worker.id, worker.offer.type.name));
        }
    }

    @Override
    int play() throws Exception {
        Controllers.Site site = new Controllers.Site();
        StateService state = new StateService(site.stateRps, site.stateWriteRps, site.valueKb, site.txnOps);
        Machines machines = new Machines(site);
        Cloud cloud = new Cloud(List.of(
            new Cloud.Type("breadfruit", 32, 128, 1.36, 0.29, 50, site.zones),
            new Cloud.Type("ackee", 64, 512, 3.38, 0.83, 25, site.zones)), site.listLagS, machines);
        Controllers controllers = new Controllers(folder, site, 3, cloud.address(), state.address());
        machines.controllers = controllers;
        controllers.start(0);
        controllers.start(2);
        Cloud.pause(1.2);
        controllers.start(1);
        if (!controllers.awaitUp(3, 20)) return NOT_RUN;
        User user = new User(controllers, 0);
        submit(machines, user, FIRST, "breadfruit");
        double until = Record.now() + 20;
        while (machines.running.size() < 4 && Record.now() < until) Cloud.pause(0.05);
        if (machines.running.size() < 4) return NOT_RUN;
        Cloud.pause(3);
        Worker first = machines.workers.get(firstMachine);
        double seen = first.lastAcceptedS();
        while (first.lastAcceptedS() == seen) Cloud.pause(0.02);
        Cloud.pause(0.2);
        if (trouble) {
            isTaken = true;
            cloud.take(firstMachine);
        }
        double takenS = Record.now();
        submit(machines, user, SECOND, "ackee");
        Http.Answer one = null;
        Http.Answer two = null;
        while (Record.now() < takenS + 50) {
            Cloud.pause(5);
            one = user.poll(FIRST);
            two = user.poll(SECOND);
            if (one.body.contains("\"stage\":\"done\"") && two.body.contains("\"stage\":\"done\"")) break;
        }
        Record.show("starts: " + machines.starts + ", last ends: " + machines.lastEnd);
        for (String line : machines.violations) Record.show(line);
        return machines.violations.isEmpty() ? HELD : BROKEN;
    }

    private void submit(Machines machines, User user, String id, String breed) {
        Map<String, Object> job = User.job(id, "reindex-sweep", "indexers", "array", "normal", 4, 8.0, 28.0);
        job.put("windfall", true);
        job.put("breeds", List.of(breed));
        job.put("guess_s", 40.0);
        machines.specs.put(id, new Worker.Spec(40, 0.3, 8, 28, "img-reindex-sweep"));
        user.submit(job);
    }
}
