package mintpick.store

/** Names of the service's keys in the state service, all below one prefix so that one watch covers them. */
object Keys {
    /** The prefix of all keys. */
    const val ROOT = "mp/"

    /** Who leads: a `ClaimRecord`, attached to the leader's lease. */
    const val LEADER = ROOT + "leader"

    /** The machine types that can be rented, or their first piece. */
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
    private const val SHARD_EPOCH = ROOT + "v/"
    private const val FORMAT = ROOT + "x/"
    private const val SPEC = ROOT + "p/"

    /** A job's main record, with its first chunk of tasks: a `JobRecord`. */
    fun job(id: String) = JOB + id

    /** The tasks of a job from `index * Job.TASKS_PER_CHUNK` on: a `ChunkRecord`; those of index 0 are in the job's main record. */
    fun chunk(
        id: String,
        index: Int,
    ) = if (index == 0) job(id) else "$CHUNK$id/$index"

    /** Whether [key] is that of a job's further tasks. */
    fun isChunk(key: String): Boolean = key.startsWith(CHUNK)

    /** Which controller owns a shard of the machines: a `ClaimRecord`, attached to that controller's lease. */
    fun shard(index: Int) = SHARD + index

    /** Which controller has borrowed a machine from the owner of its shard: a `ClaimRecord`, attached to its lease. */
    fun borrow(machine: String) = BORROW + machine

    /**
     * The machines of one partition of the fleet: a `FleetRecord`. The list is split into pieces once it outgrows a value; the
     * first has the partition's own name.
     */
    fun machineList(
        partition: Int,
        piece: Int = 0,
    ) = if (piece == 0) MACHINE_LIST + partition else "$MACHINE_LIST$partition/$piece"

    /**
     * A `ClaimRecord` of which only the key's version matters: it rises with every borrowing from a shard, so that its
     * owner's guards notice any of them.
     */
    fun shardEpoch(shard: Int) = SHARD_EPOCH + shard

    /** A machine's own record, as earlier versions wrote it: a `MachineRecord`. */
    fun machine(machine: String) = MACHINE + machine

    /** A controller that serves: a `NodeRecord`, attached to its lease. */
    fun node(node: String) = NODE + node

    /** What is reserved for placements of a team with a limit: a `ReservationRecord`, of which only the key's version matters. */
    fun team(team: String) = TEAM + team

    /**
     * A controller's use by team: a `UsageRecord`. It is kept in pieces; the whole of it, as earlier versions wrote it, is
     * piece 0.
     */
    fun usage(
        node: String,
        piece: Int = 0,
    ) = if (piece == 0) USAGE + node else "$USAGE$node/$piece"

    /** Machine types are split into pieces once they outgrow a value; the first has the plain key. */
    fun types(piece: Int) = if (piece == 0) TYPES else "$TYPES/$piece"

    /** A piece, from 0 on, of a specification that is too large for its job's main record: a text, see [SpecPieces]. */
    fun spec(
        id: String,
        piece: Int,
    ) = "$SPEC$id/$piece"

    /** The newest record format that a controller reads: a `FormatRecord`. */
    fun format(node: String) = FORMAT + node

    /** The record that a key names. */
    sealed interface Subject {
        /** The main record of job [id]. */
        data class Job(
            val id: String,
        ) : Subject

        /** The further chunk [index], from 1 on, of job [id]. */
        data class Chunk(
            val id: String,
            val index: Int,
        ) : Subject

        /** Piece [piece] of the specification of job [id]. */
        data class Spec(
            val id: String,
            val piece: Int,
        ) : Subject

        /** The claim of shard [index]. */
        data class Shard(
            val index: Int,
        ) : Subject

        /** The claim of the borrowed machine [machine]. */
        data class Borrow(
            val machine: String,
        ) : Subject

        /** A machine's own record, as earlier versions wrote it. */
        data class Machine(
            val machine: String,
        ) : Subject

        /** Piece [piece] of the list of machines of [partition]. */
        data class MachineList(
            val partition: Int,
            val piece: Int = 0,
        ) : Subject

        /** Some shard's epoch; which shard's doesn't matter, since only versions of its key are used. */
        data object ShardEpoch : Subject

        /** The serving controller [node]. */
        data class Node(
            val node: String,
        ) : Subject

        /** The reservation of [team]. */
        data class Team(
            val team: String,
        ) : Subject

        /** Piece [piece] of the use by team that controller [node] summarises. */
        data class Usage(
            val node: String,
            val piece: Int = 0,
        ) : Subject

        /** The record format that controller [node] announces. */
        data class Format(
            val node: String,
        ) : Subject

        /** The claim of the leadership. */
        data object Leader : Subject

        /** Piece [piece] of the machine types. */
        data class Types(
            val piece: Int,
        ) : Subject
    }

    /** Keys that start with [prefix], and how the rest of such a key is read. */
    private class KeyFamily(
        val prefix: String,
        val parseRest: (String) -> Subject?,
    )

    /** No prefix starts with another one, so that their order does not matter. */
    private val FAMILIES =
        listOf(
            KeyFamily("$TYPES/") { rest -> rest.toIntOrNull()?.let { Subject.Types(it) } },
            KeyFamily(JOB) { Subject.Job(it) },
            KeyFamily(CHUNK, ::chunkOf),
            KeyFamily(SHARD) { rest -> rest.toIntOrNull()?.let { Subject.Shard(it) } },
            KeyFamily(MACHINE_LIST, ::machineListOf),
            KeyFamily(SHARD_EPOCH) { Subject.ShardEpoch },
            KeyFamily(BORROW) { Subject.Borrow(it) },
            KeyFamily(MACHINE) { Subject.Machine(it) },
            KeyFamily(NODE) { Subject.Node(it) },
            KeyFamily(TEAM) { Subject.Team(it) },
            KeyFamily(SPEC, ::specOf),
            KeyFamily(FORMAT) { Subject.Format(it) },
            KeyFamily(USAGE, ::usageOf),
        )

    /** What [key] names; null for a key that this version does not know. */
    fun parse(key: String): Subject? {
        if (key == LEADER) return Subject.Leader
        if (key == TYPES) return Subject.Types(0)
        val family = FAMILIES.firstOrNull { key.startsWith(it.prefix) } ?: return null
        return family.parseRest(key.substring(family.prefix.length))
    }

    private fun machineListOf(rest: String): Subject? {
        val partition = rest.substringBefore('/').toIntOrNull() ?: return null
        if ('/' !in rest) return Subject.MachineList(partition)
        val piece = rest.substringAfter('/').toIntOrNull() ?: return null
        return if (piece > 0) Subject.MachineList(partition, piece) else null
    }

    private fun specOf(rest: String): Subject? {
        val piece = rest.substringAfterLast('/', "").toIntOrNull() ?: return null
        return Subject.Spec(rest.substringBeforeLast('/'), piece)
    }

    private fun usageOf(rest: String): Subject? {
        if ('/' !in rest) return Subject.Usage(rest)
        val piece = rest.substringAfterLast('/').toIntOrNull() ?: return null
        return Subject.Usage(rest.substringBeforeLast('/'), piece)
    }

    private fun chunkOf(rest: String): Subject? {
        val index = rest.substringAfterLast('/', "").toIntOrNull() ?: return null
        return if (index > 0) Subject.Chunk(rest.substringBeforeLast('/'), index) else null
    }
}
