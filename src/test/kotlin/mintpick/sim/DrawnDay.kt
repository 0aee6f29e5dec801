package mintpick.sim

import mintpick.Samples
import mintpick.core.SECOND
import mintpick.wire.JobKind
import mintpick.wire.JobSpec
import mintpick.wire.Priority

private const val JOBS = 24

/** What happened on the drawn day of [seed]. */
internal class DrawnDay(
    val seed: Long,
    val troubles: List<String>,
    val starts: Int,
    val breaches: List<String>,
)

private fun jobOf(
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

/** Plays the day of [seed]; [prepare] may choose what its controllers run. */
internal fun playDrawnDay(
    seed: Long,
    prepare: (World) -> Unit = {},
): DrawnDay {
    val world = World(seed, FaultRates(lost = 2, lostAnswer = 2, late = 3, copied = 30)) { Samples.settings(it) }
    prepare(world)
    (1..JOBS).forEach { n ->
        val cancelAfter = if (n % 4 == 0) world.random.nextLong(70 * SECOND) else null
        world.after(world.random.nextLong(60 * SECOND)) { world.user(jobOf(world, n), cancelAfter) }
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
    return DrawnDay(
        seed,
        troubles,
        world.rules.starts,
        world.rules.breaches
            .distinct()
            .take(3),
    )
}
