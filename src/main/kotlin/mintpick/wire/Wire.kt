package mintpick.wire

import kotlinx.serialization.json.Json

/** The JSON dialect of every interface to the outside: unknown fields ignored, nulls may be left out. */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = true
    }

/** Largest request body that any interface accepts. */
const val MAX_BODY_BYTES: Int = 64 * 1024

/** Paths that the controllers serve to users and workers, and paths of the workers that the controllers call. */
object Paths {
    /** Submissions; polls and cancellations are below it. */
    const val JOBS = "/api/jobs"

    /** The load balancer's health check. */
    const val HEALTH = "/up"

    /** Reports of the workers. */
    const val HEARTBEAT = "/checkin"

    /** Served by a worker: direct commands. */
    const val COMMANDS = "/commands"

    /** Served by a worker: its report on demand. */
    const val INSPECT = "/inspect"
}
