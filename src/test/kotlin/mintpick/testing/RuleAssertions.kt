package mintpick.testing

import org.junit.jupiter.api.Assertions.assertEquals

/** Fails with the first breaches if any rule has been broken so far. */
internal fun SimulatedCluster.assertRulesHeld() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))
