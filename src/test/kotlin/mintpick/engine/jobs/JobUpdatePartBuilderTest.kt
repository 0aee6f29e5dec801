package mintpick.engine.jobs

import mintpick.core.Chunk
import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.core.MachineId
import mintpick.core.Placement
import mintpick.engine.cache.LocalCache
import mintpick.engine.runtime.EngineContext
import mintpick.engine.state.RecordFormatNegotiator
import mintpick.engine.state.StateStoreClient
import mintpick.engine.transactions.JobUpdate
import mintpick.engine.transactions.TransactionLimits
import mintpick.engine.transactions.TransactionPart
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.testing.SampleJobs
import mintpick.testing.SimulatedStateStore
import mintpick.wire.Change
import mintpick.wire.JobSpec
import mintpick.wire.StoredStage
import mintpick.wire.Transaction
import mintpick.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.SplittableRandom

/** Parts of jobs with several chunks, which other controllers may change at the same time. */
class JobUpdatePartBuilderTest {
    private val context = EngineContext(SampleJobs.settings(0), SplittableRandom(1))
    private val formats = RecordFormatNegotiator(context)
    private val limits = TransactionLimits(context.settings.limits.transactionOps)
    private val stateStore = StateStoreClient(context, formats)
    private val pendingRequests = PendingRequests(context, stateStore, JobAnswers(context, stateStore))
    private val builder = JobUpdatePartBuilder(context, formats, SpecStorage(context, formats, limits), pendingRequests)
    private val store = SimulatedStateStore()
    private val cache: LocalCache get() = context.cache
    private val machine = MachineId("host-000001")

    private fun commit(part: TransactionPart): Boolean {
        val changes =
            part.writes.map { write ->
                val value = write.value
                if (value == null) Change(delete = write.key) else Change(put = write.key, value = value)
            }
        return store.transact(Transaction(part.guards.toList(), changes)).status == 200
    }

    /** Stores an open job whose first chunk is placed, and loads it. */
    private fun store(spec: JobSpec): Job {
        val empty = Job(JobId(spec.id), spec, StoredStage.OPEN, 0, JobRecordInfo(0), emptyMap())
        val placed = (0 until empty.chunkSize(0)).associateWith { Placement(machine, 1) }
        val job = empty.withChunk(0, Chunk(0, empty.chunkSize(0), placed, BitSet(), emptyMap()))
        val value = RecordCodec.jobJson(job, RecordFormat.COMPACT)
        store.transact(Transaction(emptyList(), listOf(Change(put = Keys.job(spec.id), value = value))))
        readAll()
        return checkNotNull(cache.job(job.id))
    }

    private fun readAll() {
        for (key in store.keys().map { it.first }) {
            val value = WireJson.parseToJsonElement(store.keys().toMap().getValue(key))
            cache.apply(key, value, store.version(key))
        }
    }

    private fun placementIn(
        job: Job,
        chunk: Int,
    ): TransactionPart = builder.build(JobUpdate(job, limits).apply { place(chunk * Job.TASKS_PER_CHUNK, machine) })

    private fun spec(
        id: String = "req-000001",
        spread: Boolean = false,
        oneZone: Boolean = false,
    ) = SampleJobs.spec(id, team = "blue", tasks = 700, spread = spread, oneZone = oneZone)

    /** Guards against tasks in a zone that the job's other tasks do not allow: two controllers placed them in different chunks. */
    @Test
    fun `of two concurrent placements of a job with zone rules in different chunks only one is stored`() {
        for (spec in listOf(spec("req-000001", spread = true), spec("req-000002", oneZone = true))) {
            val job = store(spec)
            val parts = listOf(placementIn(job, 1), placementIn(job, 2))
            assertEquals(listOf(true, false), parts.map(::commit))
            readAll()
            assertTrue(commit(placementIn(checkNotNull(cache.job(job.id)), 2)), "planned again from the current records")
            readAll()
        }
    }

    @Test
    fun `concurrent placements of a job without zone rules in different chunks are all stored`() {
        val job = store(spec())
        assertEquals(listOf(true, true), listOf(placementIn(job, 1), placementIn(job, 2)).map(::commit))
    }

    /**
     * Guards against a cancelled job that becomes final before its canceller has read a placement in another chunk: the placed task no longer
     * counted towards its team's limit.
     */
    @Test
    fun `a cancelled job of several chunks becomes final only when all changes before its cancellation are read`() {
        val empty = Job(JobId("req-000001"), spec(), StoredStage.OPEN, 0, JobRecordInfo(0), emptyMap())
        val cancelled = RecordCodec.jobJson(empty.with(stage = StoredStage.CANCELLED), RecordFormat.COMPACT)
        // The canceller's own write is cached at once, whatever it has read by then.
        cache.apply(Keys.job("req-000001"), cancelled, 20)
        cache.advanceTo(12)
        assertFalse(isFinal(finalRecordOf("req-000001")), "changes 13 to 20 are not read")
        cache.advanceTo(20)
        assertTrue(isFinal(finalRecordOf("req-000001")))
    }

    private fun finalRecordOf(id: String): TransactionPart {
        val draft = JobUpdate(checkNotNull(cache.job(JobId(id))), limits).apply { writeFinalRecord() }
        return builder.build(draft)
    }

    private fun isFinal(part: TransactionPart): Boolean =
        part.writes.any { write -> write.value?.let { RecordCodec.decodeJob(it).isFinal } == true }
}
