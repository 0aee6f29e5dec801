package mintpick.testing

/** Seven controllers under the limits of [sevenControllersToml], which the state store enforces. */
internal val SEVEN_CONTROLLERS =
    ClusterShape(
        controllers = 7,
        limits = SimulatedStateStore.StateLimits(valueBytes = 8 * 1024, changes = 12, changesPerSecond = 15.0),
        toml = { sevenControllersToml(it, cpusMax = 24.0) },
    )

/** Settings of controller [index] of seven, with a state store of few writes, small values and small transactions. */
internal fun sevenControllersToml(
    index: Int,
    cpusMax: Double = 1500.0,
): String =
    SampleJobs
        .withStateLimits(SampleJobs.toml(index, cpusMax, controllers = 7), writesPerSecond = 15.0, valueKb = 8.0, changes = 12)
        .replace("report_s = 3.0", "report_s = 2.0")
        .replace("lease_s = 18.0", "lease_s = 12.0")
        .replace("cancel_s = 43.0", "cancel_s = 42.0")
        .replace("\nrps = 8.0", "\nrps = 3.0")
        .replace("cpu = 0.4", "cpu = 0.255")
