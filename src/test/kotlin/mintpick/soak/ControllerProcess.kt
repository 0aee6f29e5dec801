package mintpick.soak

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** A controller as an operating-system process, started with the options of `run` in deploy/service.toml. */
internal class ControllerProcess(
    index: Int,
    private val directory: Path,
    val addresses: SoakSettings.Addresses,
    settings: String,
) {
    /** Name of the controller. */
    val node = "node-$index"

    /** Host and port for users and agents. */
    val apiAddress: String get() = addresses.api

    /** Faults of its connections. */
    val faults = ControllerFaults()

    /** What the process writes, over all its starts. */
    val log: File = directory.resolve("$node.log").toFile()
    private val config = directory.resolve("$node.toml").apply { writeText(settings) }
    private var process: Process? = null

    @Synchronized
    fun start() {
        if (process?.isAlive == true) return
        val builder = ProcessBuilder(command() + config.toString()).redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment()["LOG_LEVEL"] = "info"
        process = builder.start()
    }

    /** Ends the process without a signal that it could handle. */
    @Synchronized
    fun kill() {
        val ended = process ?: return
        ended.destroyForcibly()
        ended.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)
        process = null
    }

    /** Stops the process from running until [resume]. */
    @Synchronized
    fun pause() = signal("STOP")

    @Synchronized
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val id = process?.pid() ?: return
        ProcessBuilder("kill", "-$name", id.toString()).start().waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val END_TIMEOUT_S = 10L
        const val MAIN_CLASS = "mintpick.cli.MainKt"

        /** The command of `run`, with the compiled classes in place of the packaged ones, which a test run does not build. */
        fun command(): List<String> {
            val run = Regex("""(?m)^run = "(.*)"$""").find(Path.of("deploy/service.toml").readText())
            val words = checkNotNull(run) { "deploy/service.toml has no run" }.groupValues[1].split(' ')
            val options = words.drop(1).takeWhile { it != "-jar" }.filterNot { "SharedArchiveFile" in it }
            val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            return listOf(java) + options + listOf("-cp", classPath, MAIN_CLASS, words.last())
        }
    }
}
