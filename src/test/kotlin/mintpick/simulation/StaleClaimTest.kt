package mintpick.simulation

import mintpick.testing.BorrowBeforeOutage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Claims by controllers that have not read all earlier claims of the same machines. */
class StaleClaimTest {
    @TestFactory
    fun `a task on a machine that was borrowed in the moment before an outage runs once`() =
        (1L..12L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val day = BorrowBeforeOutage(seed).apply { play() }
                assertTrue(day.owner != null, "no machine of another controller was borrowed")
                assertTrue(day.outageByClaimUs != null, "the claim that ends the store's service was not attempted")
                assertEquals(
                    emptyList<String>(),
                    day.cluster.rules.breaches
                        .distinct()
                        .take(5),
                )
            }
        }
}
