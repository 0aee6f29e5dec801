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
    private const val MACHINE_LIST = ROOT + "f/"
    private const val EPOCH = ROOT + "v/"
    private const val FORMAT = ROOT + "x/"
    private const val SPEC = ROOT + "p/"

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
    fun machineList(
        part: Int,
        piece: Int = 0,
    ) = if (piece == 0) MACHINE_LIST + part else "$MACHINE_LIST$part/$piece"

    /** Rises with every borrowing from a shard, so that its owner's guards notice any of them. */
    fun epoch(shard: Int) = EPOCH + shard

    fun machine(machine: String) = MACHINE + machine

    fun node(node: String) = NODE + node

    fun team(team: String) = TEAM + team

    /** A controller's use by team is kept in pieces; the whole of it, as earlier versions wrote it, is piece 0. */
    fun usage(
        node: String,
        piece: Int = 0,
    ) = if (piece == 0) USAGE + node else "$USAGE$node/$piece"

    /** Machine types are split into pieces once they outgrow a value; the first has the plain key. */
    fun types(piece: Int) = if (piece == 0) TYPES else "$TYPES/$piece"

    /** A piece of a specification that is too large for its job's main record. */
    fun spec(
        id: String,
        piece: Int,
    ) = "$SPEC$id/$piece"

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

        data class Spec(
            val id: String,
            val piece: Int,
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

        data class MachineList(
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
            val piece: Int = 0,
        ) : Subject

        data class Format(
            val node: String,
        ) : Subject

        data object Leader : Subject

        data class Types(
            val piece: Int,
        ) : Subject
    }

    fun parse(key: String): Subject? =
        when {
            key == LEADER -> Subject.Leader
            key == TYPES -> Subject.Types(0)
            key.startsWith("$TYPES/") -> key.substring(TYPES.length + 1).toIntOrNull()?.let { Subject.Types(it) }
            key.startsWith(JOB) -> Subject.Job(key.substring(JOB.length))
            key.startsWith(CHUNK) -> chunkOf(key.substring(CHUNK.length))
            key.startsWith(SHARD) -> key.substring(SHARD.length).toIntOrNull()?.let { Subject.Shard(it) }
            key.startsWith(MACHINE_LIST) -> fleetOf(key.substring(MACHINE_LIST.length))
            key.startsWith(EPOCH) -> Subject.Epoch
            key.startsWith(BORROW) -> Subject.Borrow(key.substring(BORROW.length))
            key.startsWith(MACHINE) -> Subject.Machine(key.substring(MACHINE.length))
            key.startsWith(NODE) -> Subject.Node(key.substring(NODE.length))
            key.startsWith(TEAM) -> Subject.Team(key.substring(TEAM.length))
            key.startsWith(SPEC) -> specOf(key.substring(SPEC.length))
            key.startsWith(FORMAT) -> Subject.Format(key.substring(FORMAT.length))
            key.startsWith(USAGE) -> usageOf(key.substring(USAGE.length))
            else -> null
        }

    private fun fleetOf(rest: String): Subject? {
        val part = rest.substringBefore('/').toIntOrNull() ?: return null
        if ('/' !in rest) return Subject.MachineList(part)
        val piece = rest.substringAfter('/').toIntOrNull() ?: return null
        return if (piece > 0) Subject.MachineList(part, piece) else null
    }

    private fun specOf(rest: String): Subject? =
        rest.substringAfterLast('/', "").toIntOrNull()?.let { Subject.Spec(rest.substringBeforeLast('/'), it) }

    private fun usageOf(rest: String): Subject? {
        if ('/' !in rest) return Subject.Usage(rest)
        return rest.substringAfterLast('/').toIntOrNull()?.let { Subject.Usage(rest.substringBeforeLast('/'), it) }
    }

    private fun chunkOf(rest: String): Subject? {
        val index = rest.substringAfterLast('/', "").toIntOrNull() ?: return null
        return if (index > 0) Subject.Chunk(rest.substringBeforeLast('/'), index) else null
    }
}
