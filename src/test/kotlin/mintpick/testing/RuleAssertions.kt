package mintpick.testing

import mintpick.core.Micros
import mintpick.core.SECOND
import org.junit.jupiter.api.Assertions.assertEquals

/** Fails with the first breaches if any rule has been broken so far. */
internal fun SimulatedCluster.assertRulesHeld() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))

/** Runs until [isReached] holds, for [withinUs] at most; returns whether it does. */
internal fun SimulatedCluster.runUntil(
    withinUs: Micros,
    isReached: () -> Boolean,
): Boolean {
    val deadlineUs = now + withinUs
    while (now < deadlineUs && !isReached()) run(now + SECOND / 4)
    return isReached()
}
