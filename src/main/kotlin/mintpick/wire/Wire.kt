package mintpick.wire

import kotlinx.serialization.json.Json

/**
 * JSON configuration of all external interfaces and stored records. Unknown fields are ignored; null fields are omitted when
 * written and optional when read.
 */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = true
    }

/** Maximum size of a request body, for all interfaces. */
const val MAX_BODY_BYTES: Int = 64 * 1024

/** Paths that controllers serve to users and agents, and paths of the agents that controllers request. */
object Paths {
    /** Submissions. Paths below it serve polls and cancellations. */
    const val JOBS = "/api/jobs"

    /** The load balancer's health check. */
    const val HEALTH = "/up"

    /** Heartbeats of the agents. */
    const val HEARTBEAT = "/checkin"

    /** Served by an agent: direct commands. */
    const val COMMANDS = "/commands"

    /** Served by an agent: its current status on request. */
    const val INSPECT = "/inspect"
}
