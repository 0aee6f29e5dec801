import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The last six tasks of a large array end while the state service is down. */
final class OutageAtTheEnd extends Site {
    private static final String ID = "req-000412";
    private static final int PIECES = 3072;
    /** Tasks that the controllers keep in one record. */
    private static final int PART = 256;
    /** Three of the last six tasks end first, and the other three so much later. */
    private static final long BETWEEN_MS = 8000;
    private static final long OUTAGE_MS = 12_000;
    private static final long WATCHED_MS = 60_000;
    private static final int OTHERS = 12;
    private static final long OTHERS_MS = 12_000;
    private final Map<String, String> held = new ConcurrentHashMap<>();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();

    OutageAtTheEnd(String folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) throws IOException {
        main(new OutageAtTheEnd(args[0]));
    }

    /** Of each 256 tasks but the first, the first one on each machine is a long one. */
    @Override
    long endOf(Worker worker, Worker.Piece piece, long now) {
        int part = piece.index() / PART;
        if (piece.jobId().equals(ID) && part > 0 && held.putIfAbsent(worker.name + "#" + part, piece.id) == null) return 0;
        return super.endOf(worker, piece, now);
    }

    @Override
    void onGone(Worker worker, Worker.Piece piece, String why) {
        super.onGone(worker, piece, why);
        if (why.equals("done")) ended.add(piece.id);
    }

    private long endedOf(String job) {
        return ended.stream().filter(p -> p.startsWith(job + "/")).count();
    }

    @Override
    boolean run() throws Exception {
        submit(new Job(array(ID, PIECES, 0.25, 0.5), 4000), 0);
        await("all tasks but the long ones have completed", 60_000, () -> endedOf(ID) > 0 && endedOf(ID) + held.size() == PIECES);
        Map<String, Worker> byName = new TreeMap<>();
        for (Worker w : cloud.workers()) byName.put(w.name, w);
        // The long tasks that are left at the end: one of each part, all on machines of one controller.
        Map<String, Map<Integer, String>> byNode = new TreeMap<>();
        held.forEach((key, piece) -> byNode.computeIfAbsent(byName.get(key.substring(0, key.indexOf('#'))).servedBy, n -> new TreeMap<>())
            .putIfAbsent(Integer.parseInt(piece.substring(ID.length() + 1)) / PART, key));
        record.line("long tasks by controller " + byNode);
        String node = byNode.keySet().stream().filter(n -> byNode.get(n).size() >= 6).findFirst().orElseThrow(() -> new Unfit("no controller has six"));
        List<String> last = new ArrayList<>(byNode.get(node).values()).subList(0, 6);
        record.line("the last tasks are " + last + " at " + node);
        held.forEach((key, piece) -> {
            if (!last.contains(key)) byName.get(key.substring(0, key.indexOf('#'))).complete(piece);
        });
        await("all tasks but six are recorded as done", 30_000, () -> {
            Map<String, Object> s = status(ID);
            return s != null && Json.num(s.get("done")) == PIECES - 6;
        });
        pause(2000);
        if (trouble) outage(true);
        pause(1000);
        for (String key : last.subList(0, 3)) byName.get(key.substring(0, key.indexOf('#'))).complete(held.get(key));
        pause(BETWEEN_MS);
        for (String key : last.subList(3, 6)) byName.get(key.substring(0, key.indexOf('#'))).complete(held.get(key));
        pause(OUTAGE_MS - BETWEEN_MS - 1000);
        if (trouble) outage(false);
        await("all tasks have completed", 10_000, () -> endedOf(ID) == PIECES);
        await("all controllers are up", 10_000, () -> nodes.stream().allMatch(Node::isUp));
        long since = System.currentTimeMillis();
        while (System.currentTimeMillis() - since < WATCHED_MS) {
            if (isDone(ID)) return true;
            pauseUntil(5000, since + WATCHED_MS);
        }
        record.line(WATCHED_MS / 1000 + " s after the outage, " + endedOf(ID) + " of " + PIECES + " tasks of " + ID
            + " have completed, and it is called " + status(ID));
        showOthers();
        return false;
    }

    /** Shows how small jobs fare that are submitted now. What they do is recorded and not judged. */
    private void showOthers() {
        List<String> others = new ArrayList<>();
        for (int k = 0; k < OTHERS; k++) {
            String id = String.format("req-%06d", 501 + k);
            others.add(id);
            submit(new Job(array(id, 2, 1.0, 2.0), 1000), k);
        }
        pause(OTHERS_MS);
        for (String id : others) {
            record.line(endedOf(id) + " of 2 tasks of " + id + " have completed, and it is called " + status(id));
        }
        for (Node n : nodes) record.line("/up of " + n.name + " is " + (n.isUp() ? "200" : "not 200"));
    }

    private boolean isDone(String id) {
        Map<String, Object> s = status(id);
        record.line("user: " + id + "? -> " + s);
        return s != null && "done".equals(s.get("stage"));
    }

    private void outage(boolean on) {
        record.line("TROUBLE: the state service is " + (on ? "down" : "back"));
        state.setDown(on);
    }
}
