package mintpick.store

/** Names of the service's keys in the state service, all below one prefix so that one watch covers them. */
object Keys {
    const val ROOT = "mp/"
    const val LEADER = ROOT + "leader"
    const val TYPES = ROOT + "types"
    private const val JOB = ROOT + "j/"
    private const val CHUNK = ROOT + "k/"
    private const val SHARD = ROOT + "s/"
    private const val BORROW = ROOT + "b/"
    private const val MACHINE = ROOT + "m/"
    private const val NODE = ROOT + "n/"
    private const val TEAM = ROOT + "t/"
    private const val USAGE = ROOT + "u/"
    private const val FLEET = ROOT + "f/"
    private const val EPOCH = ROOT + "v/"
    private const val FORMAT = ROOT + "x/"

    fun job(id: String) = JOB + id

    fun chunk(
        id: String,
        index: Int,
    ) = if (index == 0) job(id) else "$CHUNK$id/$index"

    /** Whether [key] is that of a job's further tasks. */
    fun isChunk(key: String): Boolean = key.startsWith(CHUNK)

    fun shard(index: Int) = SHARD + index

    fun borrow(machine: String) = BORROW + machine

    /** A part's list of machines is split into pieces once it outgrows a value; the first has the part's own name. */
    fun fleet(
        part: Int,
        piece: Int = 0,
    ) = if (piece == 0) FLEET + part else "$FLEET$part/$piece"

    /** Rises with every borrowing from a shard, so that its owner's guards notice any of them. */
    fun epoch(shard: Int) = EPOCH + shard

    fun machine(machine: String) = MACHINE + machine

    fun node(node: String) = NODE + node

    fun team(team: String) = TEAM + team

    fun usage(node: String) = USAGE + node

    /** The newest record format that a controller reads. */
    fun format(node: String) = FORMAT + node

    /** What a key stands for. */
    sealed interface Subject {
        data class Job(
            val id: String,
        ) : Subject

        data class Chunk(
            val id: String,
            val index: Int,
        ) : Subject

        data class Shard(
            val index: Int,
        ) : Subject

        data class Borrow(
            val machine: String,
        ) : Subject

        /** A machine's own record, as earlier versions wrote it. */
        data class Machine(
            val machine: String,
        ) : Subject

        data class Fleet(
            val part: Int,
            val piece: Int = 0,
        ) : Subject

        data object Epoch : Subject

        data class Node(
            val node: String,
        ) : Subject

        data class Team(
            val team: String,
        ) : Subject

        data class Usage(
            val node: String,
        ) : Subject

        data class Format(
            val node: String,
        ) : Subject

        data object Leader : Subject

        data object Types : Subject
    }

    fun parse(key: String): Subject? =
        when {
            key == LEADER -> Subject.Leader
            key == TYPES -> Subject.Types
            key.startsWith(JOB) -> Subject.Job(key.substring(JOB.length))
            key.startsWith(CHUNK) -> chunkOf(key.substring(CHUNK.length))
            key.startsWith(SHARD) -> key.substring(SHARD.length).toIntOrNull()?.let { Subject.Shard(it) }
            key.startsWith(FLEET) -> fleetOf(key.substring(FLEET.length))
            key.startsWith(EPOCH) -> Subject.Epoch
            key.startsWith(BORROW) -> Subject.Borrow(key.substring(BORROW.length))
            key.startsWith(MACHINE) -> Subject.Machine(key.substring(MACHINE.length))
            key.startsWith(NODE) -> Subject.Node(key.substring(NODE.length))
            key.startsWith(TEAM) -> Subject.Team(key.substring(TEAM.length))
            key.startsWith(FORMAT) -> Subject.Format(key.substring(FORMAT.length))
            key.startsWith(USAGE) -> Subject.Usage(key.substring(USAGE.length))
            else -> null
        }

    private fun fleetOf(rest: String): Subject? {
        val part = rest.substringBefore('/').toIntOrNull() ?: return null
        if ('/' !in rest) return Subject.Fleet(part)
        val piece = rest.substringAfter('/').toIntOrNull() ?: return null
        return if (piece > 0) Subject.Fleet(part, piece) else null
    }

    private fun chunkOf(rest: String): Subject? {
        val index = rest.substringAfterLast('/', "").toIntOrNull() ?: return null
        return if (index > 0) Subject.Chunk(rest.substringBeforeLast('/'), index) else null
    }
}
