package mintpick.testing

/** Settings of controller [index] of seven, with a state store of few writes, small values and small transactions. */
internal fun sevenControllersToml(index: Int): String =
    SampleJobs
        .toml(index, cpusMax = 1500.0, controllers = 7)
        .replace("report_s = 3.0", "report_s = 2.0")
        .replace("lease_s = 18.0", "lease_s = 12.0")
        .replace("cancel_s = 43.0", "cancel_s = 42.0")
        .replace("write_rps = 40.0", "write_rps = 15.0")
        .replace("value_kb = 32.0", "value_kb = 8.0")
        .replace("txn_ops = 16", "txn_ops = 12")
        .replace("\nrps = 8.0", "\nrps = 3.0")
        .replace("cpu = 0.4", "cpu = 0.255")
