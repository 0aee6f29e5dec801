package mintpick.core

import mintpick.testing.SampleJobs
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.SplittableRandom

class PlacerTest {
    private fun randomMachines(random: SplittableRandom): List<CandidateMachine> =
        List(random.nextInt(1, 20)) {
            val total = Resources(16.0, 0.0, 64.0, 100.0)
            val used = random.nextDouble()
            CandidateMachine(
                MachineId("m$it"),
                "small",
                if (random.nextBoolean()) "north" else "south",
                random.nextBoolean(),
                total * used,
                total,
                { false },
                true,
            )
        }

    @Test
    fun `placements respect free capacity, spot rules and zones`() {
        val random = SplittableRandom(11)
        repeat(400) { round ->
            val machines = randomMachines(random)
            val spec =
                SampleJobs.spec(
                    tasks = random.nextInt(1, 12),
                    spot = random.nextBoolean(),
                    spread = round % 3 == 0,
                    oneZone = round % 3 == 1,
                    zone = if (round % 5 == 4) "north" else null,
                )
            val placed =
                Placer(SplittableRandom(1), 8)
                    .place(PlacementRequest(spec, (0 until spec.tasks).asSequence(), emptyMap(), 100), Candidates.of(machines))
            val byId = machines.associateBy { it.machine }
            placed.groupBy { it.machine }.forEach { (machine, tasks) ->
                assertTrue((spec.demand * tasks.size.toDouble()).fits(byId.getValue(machine).free))
            }
            val used = placed.map { byId.getValue(it.machine) }
            assertTrue(used.all { spec.spot || !it.spot })
            assertTrue(used.all { spec.zone == null || it.zone == spec.zone })
            val zones = used.groupingBy { it.zone }.eachCount()
            if (spec.spread) assertTrue(zones.values.all { it <= (spec.tasks + 1) / 2 })
            if (spec.oneZone) assertTrue(zones.size <= 1)
            assertEquals(placed.size, placed.map { it.task }.toSet().size)
        }
    }

    @Test
    fun `a task goes where an earlier attempt of it is in the way only if nothing else is possible`() {
        val total = Resources(4.0, 0.0, 16.0, 100.0)
        val machines = listOf("m1", "m2").map { CandidateMachine(MachineId(it), "small", "north", false, total, total, { false }, true) }
        val blocked = mapOf(MachineId("m1") to setOf(0))

        fun place(
            tasks: List<Int>,
            on: List<CandidateMachine>,
        ): List<PlacedTask> {
            val request = PlacementRequest(SampleJobs.spec(tasks = 2), tasks.asSequence(), emptyMap(), 100, blockedTasks = blocked)
            return Placer(SplittableRandom(1), 8).place(request, Candidates.of(on))
        }
        assertEquals(listOf(PlacedTask(0, MachineId("m2"))), place(listOf(0), machines))
        assertEquals(listOf(PlacedTask(0, MachineId("m1"))), place(listOf(0), machines.take(1)))
        assertEquals(setOf(0, 1), place(listOf(0, 1), machines.take(1)).map { it.task }.toSet())
        assertEquals(
            listOf(PlacedTask(1, MachineId("m1"))),
            place(listOf(0, 1), listOf(machines[0].copy(free = Resources(2.0, 0.0, 6.0, 100.0)))),
        )
    }

    @Test
    fun `the offer with the lowest cost per task is rented for tasks without free capacity`() {
        val types =
            listOf(
                mintpick.wire.MachineType("expensive", 16.0, 0.0, 64.0, price = 4.0, spotPrice = 2.0, zones = listOf("north", "south")),
                mintpick.wire.MachineType("cheap", 8.0, 0.0, 32.0, price = 1.0, spotPrice = 0.2, zones = listOf("north", "south")),
            ).associateBy { it.name }
        val scaleOutPlanner = ScaleOutPlanner(types, listOf("north", "south")) { true }
        val spot = scaleOutPlanner.plan(emptyList(), listOf(CapacityDemand(SampleJobs.spec(cpus = 4.0), 4)), 10)
        assertEquals(
            setOf("cheap" to true),
            spot.newMachines.keys
                .map { it.type to it.spot }
                .toSet(),
        )
        assertEquals(2, spot.newMachines.values.sum())
        val spread =
            scaleOutPlanner.plan(
                emptyList(),
                listOf(CapacityDemand(SampleJobs.spec(cpus = 1.0, tasks = 2, spot = false, spread = true), 2)),
                10,
            )
        assertEquals(
            setOf("north", "south"),
            spread.newMachines.keys
                .map { it.zone }
                .toSet(),
        )
        assertTrue(spread.newMachines.keys.none { it.spot })
    }

    @Test
    fun `services count preemptible batch work on on-demand machines as capacity`() {
        val types =
            listOf(
                mintpick.wire.MachineType("small", 8.0, 0.0, 32.0, price = 1.0, spotPrice = 0.2, zones = listOf("north")),
            ).associateBy { it.name }
        val total = Resources(8.0, 0.0, 32.0, 100.0)
        val full = CandidateMachine(MachineId("m"), "small", "north", false, Resources.ZERO, total, { false }, true, preemptible = total)
        val scaleOutPlanner = ScaleOutPlanner(types, listOf("north")) { true }
        val service = CapacityDemand(SampleJobs.spec(kind = mintpick.wire.JobKind.SERVICE, spot = false, cpus = 1.0), 3)
        assertEquals(emptyMap<Offer, Int>(), scaleOutPlanner.plan(listOf(full), listOf(service), 5).newMachines)
        assertEquals(
            1,
            scaleOutPlanner
                .plan(listOf(full), listOf(CapacityDemand(SampleJobs.spec(cpus = 1.0), 3)), 5)
                .newMachines.values
                .sum(),
        )
    }

    /** Capacity kept for expected batch work retained hundreds of expensive machines for a minute after each peak. */
    @Test
    fun `expected batch work keeps no on-demand machine`() {
        val types =
            listOf(
                mintpick.wire.MachineType("small", 8.0, 0.0, 32.0, price = 1.0, spotPrice = 0.2, zones = listOf("north")),
            ).associateBy {
                it.name
            }
        val total = Resources(8.0, 0.0, 32.0, 100.0)
        val machines =
            listOf(true, false).map { spot ->
                CandidateMachine(MachineId("spot-$spot"), "small", "north", spot, total, total, { false }, true)
            }
        val scaleOutPlanner = ScaleOutPlanner(types, listOf("north")) { false }
        val spec = SampleJobs.spec(cpus = 4.0)
        assertEquals(
            setOf(MachineId("spot-false")),
            scaleOutPlanner.plan(machines, listOf(CapacityDemand(spec, 4, mayRentOnDemand = false, spotOnly = true)), 5).unusedMachines,
        )
        assertEquals(
            emptySet<MachineId>(),
            scaleOutPlanner.plan(machines, listOf(CapacityDemand(spec, 4, mayRentOnDemand = false)), 5).unusedMachines,
        )
    }

    /** The search found only the fuller machines of a zone that already had its share of a spread job, and missed the other zone. */
    @Test
    fun `a spread job finds the zone whose machines are all empty`() {
        val total = Resources(16.0, 0.0, 64.0, 100.0)
        val machines =
            List(80) {
                val zone = if (it < 60) "north" else "south"
                CandidateMachine(MachineId("m$it"), "large", zone, false, if (it < 60) total * 0.5 else total, total, { false }, true)
            }
        val spec = SampleJobs.spec(tasks = 4, cpus = 1.0, spot = false, spread = true)
        for (perZone in listOf(mapOf("north" to 2), emptyMap())) {
            val tasks = (perZone.values.sum() until spec.tasks).asSequence()
            val placed = Placer(SplittableRandom(1), 32).place(PlacementRequest(spec, tasks, perZone, 4), Candidates.of(machines))
            assertEquals(tasks.toList(), placed.map { it.task }, "$perZone")
        }
    }
}
