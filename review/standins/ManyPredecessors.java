import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A job of more than 256 tasks that waits on many others; all controllers end and come back while it runs. */
final class ManyPredecessors extends Site {
    private static final String ID = "req-000900";
    private static final int PREDECESSORS = 90;
    private static final int PIECES = 300;
    /** Controllers are back this long after their end. */
    private static final long BACK_MS = 500;
    private static final int USERS = 6;
    private static final long WATCHED_MS = 90_000;
    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    private final Set<String> running = ConcurrentHashMap.newKeySet();

    ManyPredecessors(String folder) throws IOException {
        super(folder);
        reportMs = 4000;
        // From the start on the service observes the smaller of the present and the next limits.
        stateNext = "[settings.state.next]\nrps = 100.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n";
    }

    public static void main(String[] args) throws IOException {
        main(new ManyPredecessors(args[0]));
    }

    @Override
    void onStart(Worker worker, Worker.Piece piece) {
        super.onStart(worker, piece);
        if (piece.jobId().equals(ID)) running.add(piece.id);
    }

    @Override
    void onGone(Worker worker, Worker.Piece piece, String why) {
        super.onGone(worker, piece, why);
        running.remove(piece.id);
        if (why.equals("done")) ended.add(piece.id);
    }

    private static String predecessor(int k) {
        return String.format("req-%06d", 401 + k);
    }

    @Override
    boolean run() throws Exception {
        ExecutorService users = Executors.newFixedThreadPool(USERS);
        List<Future<?>> accepted = new ArrayList<>();
        List<Object> names = new ArrayList<>();
        for (int k = 0; k < PREDECESSORS; k++) {
            String id = predecessor(k);
            int node = k;
            names.add(id);
            accepted.add(users.submit(() -> submit(new Job(array(id, 1, 1.0, 2.0), 500), node)));
        }
        for (Future<?> f : accepted) f.get();
        Map<String, Object> body = array(ID, PIECES, 0.25, 0.25);
        body.put("bundle", "registry/symbol-graph@sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08");
        body.put("waits_on", names);
        submit(new Job(body, 20_000), 0);
        await("the job's tasks all run", 40_000, () -> running.size() == PIECES);
        await("the job's tasks are all called running", 10_000, () -> {
            Map<String, Object> s = status(ID);
            return s != null && Json.num(s.get("running")) == PIECES;
        });
        if (trouble) {
            record.line("TROUBLE: all controllers end");
            nodes.forEach(Node::kill);
            pause(BACK_MS);
            for (Node n : nodes) n.start();
        }
        await("all controllers are up", 20_000, () -> nodes.stream().allMatch(Node::isUp));
        long upMs = System.currentTimeMillis();
        Map<String, Object> last = null;
        while (System.currentTimeMillis() - upMs < WATCHED_MS) {
            for (Node n : nodes) {
                Http.Answer a = poll(n, ID);
                record.line("user -> " + n.name + ": " + ID + "? -> " + a);
                if (a != null && a.status == 200) last = Json.object(a.body);
            }
            if (last != null && "done".equals(last.get("stage"))) return true;
            pauseUntil(5000, upMs + WATCHED_MS);
        }
        long done = ended.stream().filter(p -> p.startsWith(ID + "/")).count();
        record.line((System.currentTimeMillis() - upMs) / 1000 + " s after all controllers were up, " + done + " of " + PIECES
            + " tasks have completed, " + running.size() + " run, " + cloud.workers().size() + " machines are up, and the job is called "
            + last);
        if (!isRoomFor(jobs.get(ID))) throw new Unfit("no machine has room");
        return false;
    }
}
