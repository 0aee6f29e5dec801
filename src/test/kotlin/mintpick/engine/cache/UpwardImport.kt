package mintpick.engine.cache

import mintpick.engine.capacity.CapacityPlanner

/** A planted fault for [mintpick.architecture.PackageDirectionTest]: the lowest package knows one of the highest. */
internal class UpwardImport(
    val planner: CapacityPlanner?,
)
