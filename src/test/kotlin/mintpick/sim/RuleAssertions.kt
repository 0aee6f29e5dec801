package mintpick.sim

import org.junit.jupiter.api.Assertions.assertEquals

/** Fails with the first breaches if any rule was broken so far. */
internal fun World.assertRulesHeld() = assertEquals(emptyList<String>(), rules.breaches.distinct().take(5))
