import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The last two tasks of a large array end on machines of two controllers while the state service answers slowly. */
final class LastTasks extends Site {
    private static final String ID = "req-000412";
    private static final int PIECES = 640;
    /** Between the ends of the two last tasks. */
    private static final long GAP_MS = 250;
    private static final long SLOW_MS = 400;
    /** The answers are slow from this long before the first end to this long after the second one. */
    private static final long SLOW_MARGIN_MS = 300;
    private static final long WATCHED_MS = 60_000;
    /** Tasks that run until they are told to end, by worker and kind. */
    private final Map<String, String> held = new ConcurrentHashMap<>();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();

    LastTasks(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) throws IOException {
        main(new LastTasks(args[0]));
    }

    /** The first task of each worker from 256 to 511, and the first one from 512 on, is a long one. */
    @Override
    long endOf(Worker worker, Worker.Piece piece, long now) {
        int part = piece.index() / 256;
        if (part > 0 && held.putIfAbsent(worker.name + "#" + part, piece.id) == null) return 0;
        return super.endOf(worker, piece, now);
    }

    @Override
    void onGone(Worker worker, Worker.Piece piece, String why) {
        super.onGone(worker, piece, why);
        if (why.equals("done")) ended.add(piece.id);
    }

    @Override
    boolean run() throws Exception {
        submit(new Job(array(ID, PIECES, 1.0, 1.0), 4000), 0);
        await("all tasks but the long ones have completed", 45_000, () -> ended.size() > 0 && ended.size() + held.size() == PIECES);
        Worker first = null;
        Worker second = null;
        for (Worker a : cloud.workers()) {
            for (Worker b : cloud.workers()) {
                if (a.servedBy == null || b.servedBy == null || a.servedBy.equals(b.servedBy)) continue;
                if (!held.containsKey(a.name + "#1") || !held.containsKey(b.name + "#2")) continue;
                first = a;
                second = b;
            }
        }
        if (first == null) throw new Unfit("no two controllers have a long task");
        String one = held.get(first.name + "#1");
        String two = held.get(second.name + "#2");
        record.line("the last tasks are " + one + " on " + first.name + " (" + first.servedBy + ") and " + two + " on " + second.name
            + " (" + second.servedBy + ")");
        Map<String, Worker> byName = new TreeMap<>();
        for (Worker w : cloud.workers()) byName.put(w.name, w);
        held.forEach((key, piece) -> {
            if (!piece.equals(one) && !piece.equals(two)) byName.get(key.substring(0, key.indexOf('#'))).complete(piece);
        });
        await("all tasks but two are recorded as done", 20_000, () -> {
            Map<String, Object> s = status(ID);
            return s != null && Json.num(s.get("done")) == PIECES - 2 && Json.num(s.get("running")) == 2;
        });
        pause(3500);
        Worker earlier = first;
        Worker later = second;
        await("both machines are between two reports", 20_000, () ->
            earlier.wouldReportAtOnce(SLOW_MARGIN_MS) && later.wouldReportAtOnce(SLOW_MARGIN_MS + GAP_MS));
        if (trouble) slow(SLOW_MS);
        pause(SLOW_MARGIN_MS);
        first.complete(one);
        pause(GAP_MS);
        second.complete(two);
        pause(SLOW_MARGIN_MS);
        if (trouble) slow(0);
        await("all tasks have completed", 5000, () -> ended.size() == PIECES);
        long completedMs = System.currentTimeMillis();
        Map<String, Object> last = null;
        while (System.currentTimeMillis() - completedMs < WATCHED_MS) {
            for (Node n : nodes) {
                Http.Answer a = poll(n, ID);
                record.line("user -> " + n.name + ": " + ID + "? -> " + a);
                if (a == null || a.status != 200) continue;
                last = Json.object(a.body);
                if ("done".equals(last.get("stage"))) return true;
            }
            pauseUntil(5000, completedMs + WATCHED_MS);
        }
        if (last == null) throw new Unfit("no poll was answered");
        record.line("all " + PIECES + " tasks completed " + WATCHED_MS / 1000 + " s ago, and the job is called " + last);
        return false;
    }

    private void slow(long ms) {
        record.line("TROUBLE: from now on the state service answers " + ms + " ms later than usual");
        nodes.forEach(n -> n.link.slowMs = ms);
    }
}
