import java.util.Map;

/** A job's description, which users upload to the workers. */
final class Job {
    final String id;
    final int pieces;
    final double vcpus;
    final double memGb;
    final Map<String, Object> body;
    /** How long each task runs; a stand-in may hold single tasks back with {@link Worker#hold}. */
    final long runMs;

    Job(Map<String, Object> body, long runMs) {
        this.body = body;
        this.id = (String) body.get("id");
        this.pieces = (int) Json.num(body.get("pieces"));
        this.vcpus = ((Number) body.get("vcpus")).doubleValue();
        this.memGb = ((Number) body.get("mem_gb")).doubleValue();
        this.runMs = runMs;
    }

    boolean isDaemon() {
        return "daemon".equals(body.get("shape"));
    }
}
