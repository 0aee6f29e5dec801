import java.util.List;

/** A job of many small tasks, all on one machine, is called off. */
public class CaseSwarm extends Case {
    private static final int PIECES = 1100;

    private static final class Machines extends Platform {
        int open = 1;

        Machines(Controllers.Site site) {
            super(site);
        }

        @Override
        public synchronized int capacity(Cloud.Offer offer) {
            if (!offer.type.name.equals("ackee") || offer.spot || !offer.zone.equals("blue-mountain")) return 0;
            int granted = open;
            open = 0;
            return granted;
        }
    }

    @Override
    int play() throws Exception {
        Worker.TERSE = true;
        Controllers.Site site = new Controllers.Site();
        site.reportS = 4.0;
        site.teams = new String[] {"indexers", "uwi-lexlab"};
        StateService state = new StateService(site.stateRps, site.stateWriteRps, site.valueKb, site.txnOps);
        Machines machines = new Machines(site);
        Cloud cloud = new Cloud(List.of(
            new Cloud.Type("breadfruit", 32, 128, 1.36, 0.29, 50, site.zones),
            new Cloud.Type("ackee", 64, 512, 3.38, 0.83, 25, site.zones)), site.listLagS, machines);
        Controllers controllers = new Controllers(folder, site, 3, cloud.address(), state.address());
        machines.controllers = controllers;
        controllers.startAll();
        if (!controllers.awaitUp(3, 20)) return NOT_RUN;
        User user = new User(controllers, 0);
        machines.specs.put("req-000001", new Worker.Spec(0, 0.3, 2, 6.9, "img-query-front"));
        user.submit(User.job("req-000001", "query-front", "indexers", "daemon", "prod", 1, 2.0, 6.9));
        double until = Record.now() + 20;
        while (machines.running.isEmpty() && Record.now() < until) Cloud.pause(0.1);
        if (machines.running.isEmpty()) return NOT_RUN;
        machines.specs.put("req-000002", new Worker.Spec(240, 0.3, 0.05, 0.2, "img-lint-swarm"));
        user.submit(User.job("req-000002", "lint-swarm", "uwi-lexlab", "array", "idle", PIECES, 0.05, 0.2));
        until = Record.now() + 30;
        while (machines.running.size() <= PIECES && Record.now() < until) Cloud.pause(0.1);
        if (machines.running.size() <= PIECES) return NOT_RUN;
        // Long enough for a lease to run out, were the machine not served.
        Cloud.pause(site.leaseS + 4);
        Record.show("before: " + machines.running.size() + " tasks on the machine, largest report " + Worker.largestReport + " bytes, "
            + "largest message to the worker " + Worker.largestMessage + " bytes, too large " + machines.refusals.size()
            + ", starts of the replica " + machines.starts.get("req-000001/0"));
        if (!machines.refusals.isEmpty()) return NOT_RUN;
        if (trouble) user.cancel("req-000002");
        double cancelledS = Record.now();
        while (Record.now() < cancelledS + 30) {
            Cloud.pause(3);
            Record.line("on the machine: " + machines.running.size() + ", the replica is on " + machines.running.get("req-000001/0"));
        }
        Record.show("after: " + machines.running.size() + " tasks on the machine, largest report " + Worker.largestReport + " bytes, "
            + "largest message to the worker " + Worker.largestMessage + " bytes, too large " + machines.refusals.size()
            + ", starts of the replica " + machines.starts.get("req-000001/0"));
        for (String line : machines.refusals.subList(0, Math.min(6, machines.refusals.size()))) Record.show(line);
        return machines.refusals.isEmpty() ? HELD : BROKEN;
    }
}
