package mintpick.engine.cache

import mintpick.engine.capacity.CapacityPlanner

/** A deliberate violation for [mintpick.architecture.PackageDirectionTest]: a lower package imports a class of a higher one. */
internal class UpwardImport(
    val planner: CapacityPlanner?,
)
