package mintpick.store

/** Keys of this service in the state store. All have one prefix, and one watch covers them. */
object Keys {
    /** The prefix of all keys. */
    const val ROOT = "mp/"

    /** Claim of the leadership: a `ClaimRecord`, attached to the leader's lease. */
    const val LEADER = ROOT + "leader"

    /** The machine types that can be rented, or the first piece of their list. */
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

    /** The tasks of a job from number `index * Job.TASKS_PER_CHUNK` on: a `ChunkRecord`. Chunk 0 is part of the job's main record. */
    fun chunk(
        id: String,
        index: Int,
    ) = if (index == 0) job(id) else "$CHUNK$id/$index"

    /** Claim of a shard of the machines: a `ClaimRecord`, attached to the lease of the controller that owns the shard. */
    fun shard(index: Int) = SHARD + index

    /** Claim of a machine that is borrowed from the owner of its shard: a `ClaimRecord`, attached to the borrower's lease. */
    fun borrow(machine: String) = BORROW + machine

    /**
     * The machines of one partition of the machine names: a `FleetRecord`. A list that is too large for one value is split into pieces;
     * the key of piece 0 has no piece number.
     */
    fun machineList(
        partition: Int,
        piece: Int = 0,
    ) = if (piece == 0) MACHINE_LIST + partition else "$MACHINE_LIST$partition/$piece"

    /**
     * Epoch of a shard: a `ClaimRecord` of which only the key's version is used. The key is written whenever a machine of the
     * shard is borrowed, and the guards of the shard's owner detect that.
     */
    fun shardEpoch(shard: Int) = SHARD_EPOCH + shard

    /** Separate record of a machine, which only earlier versions write: a `MachineRecord`. */
    fun machine(machine: String) = MACHINE + machine

    /** Registration of a serving controller: a `NodeRecord`, attached to its lease. */
    fun node(node: String) = NODE + node

    /** Resources reserved for placements of a team with a limit: a `ReservationRecord` of which only the key's version is used. */
    fun team(team: String) = TEAM + team

    /**
     * Usage by team on a controller's machines: a `UsageRecord`. It is stored in pieces; piece 0 is the whole record of earlier
     * versions.
     */
    fun usage(
        node: String,
        piece: Int = 0,
    ) = if (piece == 0) USAGE + node else "$USAGE$node/$piece"

    /** A piece of the list of machine types, which is split if it is too large for one value. Piece 0 has the key [TYPES]. */
    fun types(piece: Int) = if (piece == 0) TYPES else "$TYPES/$piece"

    /** A piece, from 0 on, of a specification that is too large for its job's main record: a text of [SpecPieces]. */
    fun spec(
        id: String,
        piece: Int,
    ) = "$SPEC$id/$piece"

    /** The newest record format that a controller reads: a `FormatRecord`. */
    fun format(node: String) = FORMAT + node

    /** The record that a key refers to. */
    sealed interface Subject {
        /** The main record of job [id]. */
        data class Job(
            val id: String,
        ) : Subject

        /** Chunk [index], from 1 on, of job [id]. */
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

        /** The separate record of [machine], which only earlier versions write. */
        data class Machine(
            val machine: String,
        ) : Subject

        /** Piece [piece] of the machine list of partition [partition]. */
        data class MachineList(
            val partition: Int,
            val piece: Int = 0,
        ) : Subject

        /** The epoch of a shard. The shard's index is not read, since only the version of the key is used. */
        data object ShardEpoch : Subject

        /** The serving controller [node]. */
        data class Node(
            val node: String,
        ) : Subject

        /** The reservation of [team]. */
        data class Team(
            val team: String,
        ) : Subject

        /** Piece [piece] of the usage by team on the machines of controller [node]. */
        data class Usage(
            val node: String,
            val piece: Int = 0,
        ) : Subject

        /** The newest record format that controller [node] reads. */
        data class Format(
            val node: String,
        ) : Subject

        /** The claim of the leadership. */
        data object Leader : Subject

        /** Piece [piece] of the list of machine types. */
        data class Types(
            val piece: Int,
        ) : Subject
    }

    /** Keys that start with [prefix]; [parseRest] reads the rest of such a key and returns null if it is invalid. */
    private class KeyFamily(
        val prefix: String,
        val parseRest: (String) -> Subject?,
    )

    /** No prefix is the start of another one, hence the order does not matter. */
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

    /** Returns the record that [key] refers to; null for a key that this version does not know. */
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
