import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Jobs that each wait for thousands of others are submitted, four a second. */
public class CaseFanIn extends Case {
    private static final int DONE = 5000;

    @Override
    int play() throws Exception {
        int names = trouble ? 4500 : 3;
        Controllers.Site site = new Controllers.Site();
        site.reportS = 4.0;
        StateService state = new StateService(site.stateRps, site.stateWriteRps, site.valueKb, site.txnOps);
        // The final states of jobs that are done, in the form in which the service stores them.
        for (int i = 0; i < DONE; i++) state.preset(String.format("mp/j/req-%06d", i), "{\"stage\":\"done\",\"n\":6,\"at\":0}");
        Platform machines = new Platform(site);
        Cloud cloud = new Cloud(List.of(
            new Cloud.Type("breadfruit", 32, 128, 1.36, 0.29, 50, site.zones),
            new Cloud.Type("ackee", 64, 512, 3.38, 0.83, 25, site.zones)), site.listLagS, machines);
        Controllers controllers = new Controllers(folder, site, 3, cloud.address(), state.address());
        machines.controllers = controllers;
        controllers.startAll();
        if (!controllers.awaitUp(3, 20)) return NOT_RUN;
        User user = new User(controllers, 0);
        if (!user.poll("req-004999").body.contains("\"stage\":\"done\"")) return NOT_RUN;
        machines.specs.put("req-900002", new Worker.Spec(0, 0.2, 2, 6.9, "img-query-front"));
        user.submit(User.job("req-900002", "query-front", "indexers", "daemon", "prod", 1, 2.0, 6.9));
        List<String> waitsOn = new ArrayList<>();
        for (int i = 0; i < names; i++) waitsOn.add(String.format("req-%06d", i));
        double startS = Record.now();
        Record.show("submissions begin, each names " + names + " jobs that are done");
        Thread submitting = new Thread(() -> submitAll(machines, controllers, waitsOn, startS), "submissions");
        submitting.setDaemon(true);
        submitting.start();
        double answeredS = Record.now();
        double largestGap = 0;
        int ends = 0;
        int asked = 0;
        int answered = 0;
        boolean[] counted = new boolean[3];
        while (Record.now() < 107) {
            Cloud.pause(1);
            // Users of other jobs ask each controller in turn.
            Http.Answer answer = user.poll("req-900002");
            user.next();
            if (answer.status == 200) answeredS = Record.now();
            if (Record.now() > startS + 40) {
                asked++;
                if (answer.status == 200) answered++;
            }
            largestGap = Math.max(largestGap, Record.now() - answeredS);
            for (int i = 0; i < 3; i++) {
                if (controllers.isAlive(i)) {
                    counted[i] = false;
                } else if (!counted[i]) {
                    counted[i] = true;
                    ends++;
                    Record.show(Controllers.name(i) + " has ended by itself, exit code " + controllers.exitCode(i));
                    int ended = i;
                    Http.THREADS.execute(() -> {
                        Cloud.pause(3);
                        try {
                            controllers.start(ended);
                        } catch (java.io.IOException e) {
                            Record.show("not started again: " + e);
                        }
                    });
                }
            }
            if (!trouble && Record.now() > startS + 60) break;
        }
        for (int i = 0; i < 3; i++) for (String line : controllers.logLines(i, 2, "OutOfMemoryError")) Record.show(Controllers.name(i) + ": " + line);
        Record.show(String.format("from 10 s after the last of these submissions on %d of %d questions about req-900002 were answered", answered, asked));
        Record.show(String.format("accepted %d jobs in %.0f s; longest time without an answer about req-900002, which was accepted before: %.0f s; ends of controllers: %d; replica on %s",
            accepted, lastAcceptedS - startS, largestGap, ends, machines.running.get("req-900002/0")));
        return largestGap >= 75 || ends > 0 ? BROKEN : HELD;
    }

    private volatile int accepted;
    private volatile double lastAcceptedS;

    /** Four submissions a second, for 30 s. A user whose submission gets no answer repeats it as the pages say. */
    private void submitAll(Platform machines, Controllers controllers, List<String> waitsOn, double startS) {
        for (int i = 0; i < 120; i++) {
            String id = "req-" + (500_000 + i);
            machines.specs.put(id, new Worker.Spec(400, 0.2, 1, 3.2, "img-shard-publish"));
            Map<String, Object> job = User.job(id, "shard-publish", "indexers", "array", "high", 1, 1.0, 3.2);
            job.put("waits_on", waitsOn);
            int node = i % 3;
            Http.THREADS.execute(() -> {
                if (new User(controllers, node).submit(job).status == 201) {
                    synchronized (this) {
                        accepted++;
                        lastAcceptedS = Record.now();
                    }
                }
            });
            Cloud.pause(Math.max(0, startS + (i + 1) * 0.25 - Record.now()));
        }
    }
}
