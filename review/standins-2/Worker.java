import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One machine's worker, as PROTOCOL describes it. Its endpoint is served by whoever created it, through [commands] and [inspect]. */
final class Worker {
    /** What a task needs and does; what the worker learns from the description that the user has uploaded. */
    static final class Spec {
        final double runS;
        final double fetchS;
        final double cpus;
        final double memoryGb;
        final String bundle;

        /** [runS] of 0: until it is stopped. */
        Spec(double runS, double fetchS, double cpus, double memoryGb, String bundle) {
            this.runS = runS;
            this.fetchS = fetchS;
            this.cpus = cpus;
            this.memoryGb = memoryGb;
            this.bundle = bundle;
        }
    }

    /** Learns what happens on machines. */
    interface Observer {
        /** The description of a job; null if nobody has submitted it. */
        Spec spec(String job);

        void started(Worker worker, String piece, long attempt);

        void ended(Worker worker, String piece, long attempt, String cause);

        /** The worker could not take a message of the controllers. */
        void refused(Worker worker, String what);
    }

    private static final class Task {
        final String piece;
        final long attempt;
        final Spec spec;
        String stage;
        String cause;
        double untilS;

        Task(String piece, long attempt, Spec spec) {
            this.piece = piece;
            this.attempt = attempt;
            this.spec = spec;
        }
    }

    private static final int MOST_BYTES = 64 * 1024;
    final String id;
    final String endpoint;
    final Cloud.Offer offer;
    private final Controllers controllers;
    private final double reportS;
    private final double leaseS;
    private final Observer observer;
    private final HttpClient client = Http.client();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Boolean> images = new HashMap<>();
    private final Map<String, Boolean> completed = new HashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseFromS = Record.now();
    private boolean changed = true;
    private volatile boolean ended;
    private volatile double lastAcceptedS;
    private volatile double lastReportS;
    private int target;

    Worker(String id, String endpoint, Cloud.Offer offer, Controllers controllers, double reportS, double leaseS, Observer observer) {
        this.id = id;
        this.endpoint = endpoint;
        this.offer = offer;
        this.controllers = controllers;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.observer = observer;
        target = Math.floorMod(id.hashCode(), controllers.count());
    }

    void start() {
        daemon(this::report, "report " + id);
        daemon(this::tick, "tasks " + id);
    }

    private static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The machine is gone: nothing of it runs or answers any more. */
    void end() {
        ended = true;
        synchronized (this) {
            killAll("machine gone");
        }
    }

    boolean hasEnded() {
        return ended;
    }

    /** When the worker last sent a report that was accepted. */
    double lastAcceptedS() {
        return lastAcceptedS;
    }

    synchronized long tally() {
        return tally;
    }

    synchronized long shift() {
        return shift;
    }

    /** The pieces that are on the machine now. */
    synchronized List<String> running() {
        List<String> found = new ArrayList<>();
        for (Task task : tasks.values()) if (task.stage.equals("running")) found.add(task.piece);
        return found;
    }

    private void killAll(String cause) {
        for (Task task : tasks.values()) if (task.stage.equals("running")) observer.ended(this, task.piece, task.attempt, cause);
        tasks.clear();
    }

    private void tick() {
        while (!ended) {
            synchronized (this) {
                if (ended) return;
                advance();
            }
            Cloud.pause(0.02);
        }
    }

    private void advance() {
        double now = Record.now();
        if (now - leaseFromS > leaseS) {
            Record.line(id + ": lease expired, session " + (shift + 1) + " begins, " + tasks.size() + " tasks dropped");
            killAll("lease expired");
            shift++;
            leaseFromS = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.stage.equals("fetching") && now >= task.untilS) {
                images.put(task.spec.bundle, true);
                task.stage = "running";
                boolean isKept = completed.containsKey(task.piece);
                task.untilS = isKept ? now : task.spec.runS > 0 ? now + task.spec.runS : Double.MAX_VALUE;
                changed = true;
                observer.started(this, task.piece, task.attempt);
            } else if (task.stage.equals("running") && now >= task.untilS) {
                completed.put(task.piece, true);
                exit(task, "done");
            }
        }
    }

    private void exit(Task task, String cause) {
        boolean ran = task.stage.equals("running");
        task.stage = "exited";
        task.cause = cause;
        changed = true;
        if (ran) observer.ended(this, task.piece, task.attempt, cause);
    }

    private String status() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = Json.of("piece", task.piece, "try", task.attempt, "stage", task.stage);
            if (task.cause != null) piece.put("cause", task.cause);
            pieces.add(piece);
        }
        return Json.write(Json.of("picker", id, "endpoint", endpoint, "breed", offer.type.name, "plot", offer.zone, "windfall", offer.spot,
            "shift", shift, "tally", ++tally, "baton", baton, "warning_s", null, "pieces", pieces));
    }

    private void report() {
        while (!ended) {
            String body;
            long session;
            double sentS;
            synchronized (this) {
                changed = false;
                body = status();
                session = shift;
                sentS = Record.now();
            }
            if (body.length() > MOST_BYTES) {
                // It must not send that. Its lease runs out, and the next session begins without tasks.
                Record.line(id + ": has too many tasks for a report: " + body.length() + " bytes");
                Cloud.pause(reportS);
                continue;
            }
            largestReport = Math.max(largestReport, body.length());
            int asked = target;
            Http.Answer answer = Http.call(client, "POST", "http://" + controllers.api(asked) + "/checkin", body, 4);
            if (ended) return;
            double next = sentS + reportS * (0.75 + 0.5 * Math.random());
            if (answer.status == 200) {
                accept(answer.body, session, sentS);
            } else if (answer.status == 421) {
                Object foreman = Json.object(answer.body).get("foreman");
                int named = foreman == null ? -1 : controllers.number((String) foreman);
                if (named >= 0 && named != asked) {
                    target = named;
                    next = 0;
                } else {
                    Cloud.pause(1);
                    target = (asked + 1) % controllers.count();
                    next = 0;
                }
            } else {
                Record.line(id + ": " + Controllers.name(asked) + " answers the report with " + answer);
                Cloud.pause(1);
                target = (asked + 1) % controllers.count();
                next = 0;
            }
            double earliest = sentS + 0.5;
            while (!ended && Record.now() < next) {
                boolean hasNews;
                synchronized (this) {
                    hasNews = changed;
                }
                if (hasNews && Record.now() >= earliest) break;
                Cloud.pause(0.02);
            }
            if (Record.now() < earliest && next > 0) Cloud.pause(earliest - Record.now());
        }
    }

    private void accept(String body, long session, double sentS) {
        for (String line : body.split("\n")) {
            largestMessage = Math.max(largestMessage, line.length());
            if (line.length() > MOST_BYTES) {
                observer.refused(this, "a response to its report has a line of " + line.length() + " bytes");
                return;
            }
        }
        Map<String, Object> answer = Json.object(body);
        synchronized (this) {
            Object token = answer.get("baton");
            if (ended || session != shift || token == null || ((Number) token).longValue() < baton) return;
            raise(((Number) token).longValue());
            leaseFromS = Math.max(leaseFromS, sentS);
            lastAcceptedS = sentS;
            execute(answer.get("orders"), "report", baton);
        }
    }

    private void raise(long token) {
        if (token > baton) {
            baton = token;
            changed = true;
        }
    }

    private void execute(Object orders, String way, long token) {
        if (orders == null) return;
        for (Object element : (Iterable<?>) orders) {
            Map<?, ?> order = (Map<?, ?>) element;
            String piece = (String) order.get("piece");
            long attempt = ((Number) order.get("try")).longValue();
            String name = piece + "#" + attempt;
            Task task = tasks.get(name);
            if (!TERSE) Record.line(id + ": " + order.get("verb") + " " + name + " by " + way + ", token " + token);
            switch ((String) order.get("verb")) {
                case "launch":
                    if (task == null) launch(piece, attempt);
                    break;
                case "stop":
                    if (task != null && !task.stage.equals("exited")) exit(task, "stopped");
                    break;
                case "reap":
                    if (task != null && task.stage.equals("exited")) {
                        tasks.remove(name);
                        changed = true;
                    }
                    break;
                default:
            }
        }
    }

    /** Whether single orders are left out of the record. */
    static boolean TERSE;

    /** Sizes over all workers, in bytes. */
    static volatile int largestReport;
    static volatile int largestMessage;

    private void launch(String piece, long attempt) {
        Spec spec = observer.spec(piece.substring(0, piece.lastIndexOf('/')));
        Task task = new Task(piece, attempt, spec);
        double cpus = 0;
        double memoryGb = 0;
        boolean isHere = false;
        for (Task other : tasks.values()) {
            if (other.stage.equals("exited")) continue;
            cpus += other.spec.cpus;
            memoryGb += other.spec.memoryGb;
            if (other.piece.equals(piece)) isHere = true;
        }
        task.stage = "exited";
        if (spec == null) task.cause = "unknown";
        else if (isHere) task.cause = "in_use";
        else if (cpus + spec.cpus > offer.type.cpus + 1e-6 || memoryGb + spec.memoryGb > offer.type.memoryGb + 1e-6) task.cause = "full";
        else {
            task.stage = "fetching";
            task.untilS = images.containsKey(spec.bundle) ? 0 : Record.now() + spec.fetchS;
        }
        tasks.put(piece + "#" + attempt, task);
        changed = true;
    }

    /** Answers POST /commands. */
    void commands(Http.Request request) {
        largestMessage = Math.max(largestMessage, request.bytes.length);
        if (request.bytes.length > MOST_BYTES) {
            observer.refused(this, "a request to it has a body of " + request.bytes.length + " bytes");
            request.reply(400, "{}");
            return;
        }
        Map<String, Object> body = Json.object(request.body());
        Object token = body.get("baton");
        Object session = body.get("shift");
        if (token == null || session == null) {
            request.reply(400, "{}");
            return;
        }
        int status;
        String answer;
        synchronized (this) {
            advance();
            if (((Number) token).longValue() < baton || ((Number) session).longValue() != shift) {
                status = 409;
            } else {
                status = 200;
                raise(((Number) token).longValue());
                execute(body.get("orders"), "command", baton);
            }
            answer = status();
        }
        if (!TERSE) Record.line(id + ": answers a command with " + status + ", baton " + token + ", session " + session);
        request.reply(status, answer);
    }

    /** Answers GET /inspect. */
    void inspect(Http.Request request) {
        String answer;
        synchronized (this) {
            answer = status();
        }
        request.reply(200, answer);
    }
}
