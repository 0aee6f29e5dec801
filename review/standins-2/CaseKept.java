import java.util.List;
import java.util.Map;

/** All controllers end and are back while the state service holds the final states of some weeks' jobs. */
public class CaseKept extends Case {
    /** 14 and 4.6 jobs a minute, as in the brief. */
    private static final double JOBS_A_MINUTE = 18.6;

    @Override
    int play() throws Exception {
        int days = trouble ? 30 : 1;
        int kept = (int) (JOBS_A_MINUTE * 60 * 24 * days);
        Controllers.Site site = new Controllers.Site();
        StateService state = new StateService(site.stateRps, site.stateWriteRps, site.valueKb, site.txnOps);
        Platform machines = new Platform(site);
        Cloud cloud = new Cloud(List.of(
            new Cloud.Type("breadfruit", 32, 128, 1.36, 0.29, 50, site.zones),
            new Cloud.Type("ackee", 64, 512, 3.38, 0.83, 25, site.zones)), site.listLagS, machines);
        Controllers controllers = new Controllers(folder, site, 3, cloud.address(), state.address());
        machines.controllers = controllers;
        controllers.startAll();
        if (!controllers.awaitUp(3, 20)) return NOT_RUN;
        User user = new User(controllers, 0);
        machines.specs.put("req-900001", new Worker.Spec(1, 0.2, 8, 28, "img-reindex-sweep"));
        machines.specs.put("req-900002", new Worker.Spec(0, 0.2, 2, 6.9, "img-query-front"));
        user.submit(User.job("req-900001", "reindex-sweep", "indexers", "array", "normal", 11, 8.0, 28.0));
        user.submit(User.job("req-900002", "query-front", "indexers", "daemon", "prod", 1, 2.0, 6.9));
        double until = Record.now() + 20;
        while (Record.now() < until && !(user.poll("req-900001").body.contains("\"stage\":\"done\"") && machines.running.containsKey("req-900002/0"))) Cloud.pause(0.3);
        String record = null;
        String key = null;
        for (Map.Entry<String, String> entry : state.under("mp/").entrySet()) {
            if (entry.getKey().endsWith("/req-900001") && entry.getValue().length() < 200) {
                key = entry.getKey();
                record = entry.getValue();
            }
        }
        if (record == null) return NOT_RUN;
        Record.show("final state as the service has stored it: " + key + " " + record);
        Http.Answer before = user.poll("req-900002");
        for (int i = 0; i < 3; i++) controllers.kill(i);
        String prefix = key.substring(0, key.length() - "req-900001".length());
        for (int i = 0; i < kept; i++) state.preset(prefix + String.format("req-%06d", i < 900_000 ? i : i + 100_000), record);
        Record.show("all controllers have ended; the state service holds the final states of " + days + " days: " + kept + " jobs");
        Cloud.pause(3);
        double backS = Record.now();
        controllers.startAll();
        boolean isAnswered = false;
        int ends = 0;
        double[] endedS = new double[3];
        double end = Math.min(backS + 90, 112);
        Http.Answer last = null;
        int answered = 0;
        while (Record.now() < end) {
            Cloud.pause(1);
            for (int i = 0; i < 3; i++) {
                if (!controllers.isAlive(i) && endedS[i] == 0) {
                    endedS[i] = Record.now();
                    ends++;
                    Record.show(Controllers.name(i) + " has ended by itself, exit code " + controllers.exitCode(i));
                    for (String line : controllers.logLines(i, 3, "OutOfMemoryError")) Record.show(line);
                } else if (endedS[i] > 0 && Record.now() > endedS[i] + 3) {
                    controllers.start(i);
                    endedS[i] = 0;
                }
            }
            if ((int) Record.now() % 3 == 0) {
                last = user.poll("req-900002");
                if (last.status == 200) answered++;
                user.next();
            }
            if (!trouble && answered >= 10) break;
        }
        Record.show(String.format("the accepted job req-900002: before %s; %d polls answered in %.0f s after the return; controllers that ended by themselves: %d",
            before, answered, Record.now() - backS, ends));
        boolean isForgotten = answered == 0 && Record.now() - backS >= 75;
        return ends > 0 || isForgotten ? BROKEN : HELD;
    }
}
