import java.net.http.HttpClient;
import java.util.Map;

/** One user: a connection of its own, retries as PROTOCOL describes them. */
final class User {
    private final Controllers controllers;
    private int node;
    private HttpClient client = Http.client();

    User(Controllers controllers, int node) {
        this.controllers = controllers;
        this.node = node;
    }

    private Http.Answer call(String method, String path, String body, double timeoutS) {
        Http.Answer answer = Http.call(client, method, "http://" + controllers.api(node) + path, body, timeoutS);
        String asked = body == null ? "" : " " + (body.length() > 300 ? body.substring(0, 300) + "..." : body);
        Record.line("user at " + Controllers.name(node) + ": " + method + " " + path + asked + " -> " + answer);
        return answer;
    }

    /** Submits or cancels, and repeats that for up to 60 s, at the next node each time. Returns the last answer. */
    Http.Answer insist(String path, String body) {
        double until = Record.now() + 60;
        while (true) {
            Http.Answer answer = call("POST", path, body, 5);
            boolean isFinal = answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422 || answer.status == 404;
            if (isFinal || Record.now() > until) return answer;
            Cloud.pause(1);
            next();
        }
    }

    void next() {
        node = (node + 1) % controllers.count();
        client = Http.client();
    }

    Http.Answer submit(Map<String, Object> job) {
        return insist("/api/jobs", Json.write(job));
    }

    Http.Answer cancel(String id) {
        return insist("/api/jobs/" + id + "/cancel", "");
    }

    Http.Answer poll(String id) {
        return call("GET", "/api/jobs/" + id, null, 2);
    }

    /** The fields of a submission; those not named here have plain values. */
    static Map<String, Object> job(String id, String sort, String team, String shape, String rank, int pieces, double cpus, double memoryGb) {
        return Json.of("id", id, "sort", sort, "crew", team, "shape", shape, "rank", rank, "pieces", pieces, "vcpus", cpus, "cards", 0.0,
            "mem_gb", memoryGb, "bundle", "img-" + sort, "pull_gb", 0.5, "breeds", null, "plot", null, "together", false, "spread", false,
            "windfall", false, "guess_s", shape.equals("daemon") ? 0.0 : 15.0, "mark_every_s", 0.0, "mark_cost_s", 0.0, "due_s", null);
    }
}
