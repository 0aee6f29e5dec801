package mintpick.engine.cache

import mintpick.core.Job
import mintpick.core.JobId
import mintpick.core.JobRecordInfo
import mintpick.store.Keys
import mintpick.store.RecordCodec
import mintpick.store.RecordFormat
import mintpick.store.SpecPieces
import mintpick.testing.SampleJobs
import mintpick.wire.StoredStage
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.openjdk.jol.info.GraphLayout

class DoneNamesMemoryTest {
    /** Four jobs a second for half a minute, each with a body of nearly 64 KiB that names done jobs, filled the heap of every controller. */
    @Test
    fun `120 jobs that name 4,500 done jobs each take less than a quarter of the heap`() {
        val cache = LocalCache()
        val names = (1..NAMES).map { "req-%06d".format(it) }
        names.forEach { cache.apply(Keys.job(it), RecordCodec.finalJson(StoredStage.DONE, 1), 1) }
        val before = GraphLayout.parseInstance(cache).totalSize()
        repeat(JOBS / SAMPLE) { n ->
            val spec = SampleJobs.spec("req-%06d".format(100_000 + n), "blue", tasks = 1).copy(predecessors = names)
            val pieces = SpecPieces.split(spec, PIECE_BYTES)
            pieces.forEachIndexed { index, piece -> cache.apply(Keys.spec(spec.id, index), SpecPieces.json(piece), 2) }
            val job = Job(JobId(spec.id), spec, StoredStage.OPEN, 0, JobRecordInfo(0, pieces.size), emptyMap())
            cache.apply(Keys.job(spec.id), RecordCodec.jobJson(job, RecordFormat.COMPACT), 3)
        }
        val bytes = (GraphLayout.parseInstance(cache).totalSize() - before) * SAMPLE
        assertTrue(bytes < HEAP_BYTES / 4, "$bytes bytes, ${bytes / JOBS / NAMES} for each name")
    }

    private companion object {
        const val JOBS = 120
        const val NAMES = 4_500

        /** One job of so many is measured. */
        const val SAMPLE = 20
        const val PIECE_BYTES = 32_766.0

        /** Of the command in deploy/service.toml. */
        const val HEAP_BYTES = 96L * 1024 * 1024
    }
}
