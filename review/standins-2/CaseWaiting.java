import java.util.List;
import java.util.Map;

/** The spot machine of a job is taken back; an ordinary machine has room for it. */
public class CaseWaiting extends Case {
    private static final String JOB = "req-000002";
    private static final String PIECE = JOB + "/0";

    private static final class Machines extends Platform {
        private int spot = 1;
        private int ordinary = 1;

        Machines(Controllers.Site site) {
            super(site);
        }

        @Override
        public synchronized int capacity(Cloud.Offer offer) {
            if (!offer.type.name.equals("breadfruit") || !offer.zone.equals("blue-mountain")) return 0;
            int granted = offer.spot ? spot : ordinary;
            if (offer.spot) spot -= granted;
            else ordinary -= granted;
            return granted;
        }

        synchronized String placeOf(String piece) {
            return running.get(piece);
        }

        /** CPUs on a machine that no task uses. */
        double free(String id) {
            Worker worker = workers.get(id);
            if (worker.hasEnded()) return 0;
            double free = worker.offer.type.cpus;
            for (String piece : worker.running()) free -= specs.get(piece.substring(0, piece.indexOf('/'))).cpus;
            return free;
        }
    }

    @Override
    int play() throws Exception {
        Controllers.Site site = new Controllers.Site();
        site.reportS = 4.0;
        site.teams = new String[] {"indexers", "uwi-lexlab"};
        StateService state = new StateService(site.stateRps, site.stateWriteRps, site.valueKb, site.txnOps);
        Machines machines = new Machines(site);
        Cloud cloud = new Cloud(List.of(new Cloud.Type("breadfruit", 32, 128, 1.36, 0.29, 50, site.zones)), site.listLagS, machines);
        Controllers controllers = new Controllers(folder, site, 3, cloud.address(), state.address());
        machines.controllers = controllers;
        controllers.startAll();
        if (!controllers.awaitUp(3, 20)) return NOT_RUN;
        User user = new User(controllers, 0);
        machines.specs.put("req-000001", new Worker.Spec(0, 0.3, 2, 6.9, "img-query-front"));
        user.submit(User.job("req-000001", "query-front", "indexers", "daemon", "prod", 1, 2.0, 6.9));
        Map<String, Object> job = User.job(JOB, "corpus-idle", "uwi-lexlab", "array", "idle", 1, 20.0, 40.0);
        job.put("windfall", true);
        job.put("guess_s", 150.0);
        machines.specs.put(JOB, new Worker.Spec(150, 0.3, 20, 40, "img-corpus-idle"));
        user.submit(job);
        double until = Record.now() + 15;
        while (Record.now() < until && (machines.placeOf(PIECE) == null || machines.placeOf("req-000001/0") == null)) Cloud.pause(0.05);
        String first = machines.placeOf(PIECE);
        String other = machines.placeOf("req-000001/0");
        if (first == null || other == null || first.equals(other) || !machines.workers.get(first).offer.spot) return NOT_RUN;
        Record.show("the job runs on " + first + ", a spot machine; the replica runs on " + other + ", an ordinary one");
        Cloud.pause(1);
        double overS = Record.now();
        if (trouble) cloud.take(first);
        double last = 0;
        double roomSinceS = overS;
        while (Record.now() < Math.min(overS + (trouble ? 97 : 30), 114)) {
            Cloud.pause(0.5);
            if (machines.free(other) < 20) roomSinceS = Record.now();
            if (Record.now() - last > 10) {
                last = Record.now();
                user.poll(JOB);
                Record.line("the job is on " + machines.placeOf(PIECE) + ", free on " + other + ": " + machines.free(other) + " CPUs, it last reported "
                    + String.format("%.1f s ago", Record.now() - machines.workers.get(other).lastAcceptedS()));
            }
            if (trouble && machines.placeOf(PIECE) != null) break;
        }
        String place = machines.placeOf(PIECE);
        double waited = Record.now() - roomSinceS;
        Record.show(String.format("the job %s, %.0f s after the machine was taken; %s has had room for it for %.0f s: %.1f CPUs of the 20 that it needs; %s",
            place == null ? "waits" : "is on " + place, Record.now() - overS, other, waited, machines.free(other), user.poll(JOB)));
        return place == null && waited > 90 ? BROKEN : HELD;
    }
}
