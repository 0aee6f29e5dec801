package mintpick.sim

import mintpick.Samples
import mintpick.core.SECOND
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.TreeMap

/**
 * Short days on which two or three troubles meet, drawn by fixed seeds; every rule is checked throughout. The ordinary test
 * run plays a few of them; `mvn test -Pexplore` plays hundreds, or as many as `-Dmintpick.days=` says, from the seed
 * `-Dmintpick.first=` on.
 */
class RandomFaultsTest {
    private class Day(
        val seed: Long,
        val troubles: List<String>,
        val starts: Int,
        val breaches: List<String>,
    )

    private fun job(
        world: World,
        n: Int,
    ): JobSpec {
        val id = "req-%06d".format(n)
        val random = world.random
        if (n % 3 == 0) {
            val tasks = 1 + random.nextInt(3)
            val spread = random.nextBoolean()
            val zone = if (!spread && random.nextInt(4) == 0) "south" else null
            return Samples.spec(id, "red", tasks, JobKind.SERVICE, Priority.PRODUCTION, 1.0, spot = false, spread = spread, zone = zone)
        }
        val team = if (n % 2 == 0) "red" else "blue"
        val estimateS = 2.0 + random.nextInt(30)
        val spec = Samples.spec(id, team, 1 + random.nextInt(6), oneZone = random.nextInt(4) == 0, estimateS = estimateS)
        return spec.copy(predecessors = predecessorsOf(n).map { "req-%06d".format(it) }.ifEmpty { null })
    }

    /** Two of each dozen jobs wait for others: one for a job that is cancelled sooner or later, one for that and one more. */
    private fun predecessorsOf(n: Int): List<Int> =
        when (n % 12) {
            5 -> listOf(n - 1)
            10 -> listOf(n - 2, n - 5)
            else -> emptyList()
        }

    private fun play(seed: Long): Day {
        val world = World(seed, FaultRates(lost = 2, lostAnswer = 2, late = 3, copied = 30)) { Samples.settings(it) }
        (1..JOBS).forEach { n ->
            val cancelAfter = if (n % 4 == 0) world.random.nextLong(70 * SECOND) else null
            world.after(world.random.nextLong(60 * SECOND)) { world.user(job(world, n), cancelAfter) }
        }
        val troubles = ArrayList<String>()
        val first = 20 * SECOND + world.random.nextLong(30 * SECOND)
        repeat(2 + world.random.nextInt(2)) {
            val at = first + world.random.nextLong(12 * SECOND)
            world.after(at) { troubles += world.draw(ALL_TROUBLES, 4 * SECOND, 60 * SECOND) }
        }
        world.after(125 * SECOND) { world.rules.calmSinceUs = world.now }
        world.run(230 * SECOND)
        world.rules.checkServed(world.now)
        return Day(
            seed,
            troubles,
            world.rules.starts,
            world.rules.breaches
                .distinct()
                .take(3),
        )
    }

    @Test
    fun `no rule breaks on days on which two or three troubles meet`() {
        val first = java.lang.Long.getLong("mintpick.first", 1)
        val count = Integer.getInteger("mintpick.days", ORDINARY_DAYS)
        val days =
            (first until first + count)
                .toList()
                .parallelStream()
                .map(::play)
                .toList()
        val kinds = days.flatMap { it.troubles }.groupingBy { it }.eachCountTo(TreeMap())
        println("drawn days: ${days.size} from seed $first on, starts: ${days.sumOf { it.starts }}, troubles: $kinds")
        val broken = days.filter { it.breaches.isNotEmpty() }
        assertEquals(emptyList<String>(), broken.map { "seed ${it.seed} with ${it.troubles}: ${it.breaches}" })
    }

    private companion object {
        const val JOBS = 24
        const val ORDINARY_DAYS = 40
    }
}
