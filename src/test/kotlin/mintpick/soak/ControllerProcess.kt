package mintpick.soak

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import java.util.jar.JarOutputStream
import java.util.zip.ZipEntry
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** A controller as an operating-system process, started with the options of `run` in deploy/service.toml. */
internal class ControllerProcess(
    index: Int,
    private val directory: Path,
    val addresses: SoakSettings.Addresses,
    settings: String,
    private val maxSockets: Int,
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
        val limited = listOf("sh", "-c", "ulimit -n ${maxSockets + OTHER_FILES} && exec \"$@\"", "sh")
        val builder = ProcessBuilder(limited + command() + config.toString()).redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment()["LOG_LEVEL"] = "info"
        process = builder.start()
    }

    /** Whether the process runs; false also if it has ended by itself. */
    val isRunning: Boolean @Synchronized get() = process?.isAlive == true

    /** Number of sockets at the last [countSockets]. */
    @Volatile var openSockets = 0
        private set

    /** Whether the process could open or accept a further connection. */
    val hasFreeSocket: Boolean get() = openSockets < maxSockets

    /** Counts the sockets that the process has open now; none if it does not run. */
    fun countSockets() {
        openSockets = currentSockets()
    }

    private fun currentSockets(): Int {
        val id = synchronized(this) { process?.takeIf { it.isAlive }?.pid() } ?: return 0
        val files = Path.of("/proc", id.toString(), "fd").toFile().listFiles() ?: return 0
        return files.count { file ->
            runCatching { Files.readSymbolicLink(file.toPath()).toString() }.getOrNull()?.startsWith("socket:") ==
                true
        }
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

        /** Files other than sockets that the process may open, such as those of its class path. */
        const val OTHER_FILES = 96
        const val MAIN_CLASS = "mintpick.cli.MainKt"

        /** The command of `run`, with the compiled classes in place of the packaged ones, which a test run does not build. */
        fun command(): List<String> {
            val run = Regex("""(?m)^run = "(.*)"$""").find(Path.of("deploy/service.toml").readText())
            val words = checkNotNull(run) { "deploy/service.toml has no run" }.groupValues[1].split(' ')
            val options = words.drop(1).takeWhile { it != "-jar" }.filterNot { "SharedArchiveFile" in it }
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            return listOf(java, "-Dorg.slf4j.simpleLogger.showDateTime=true", "-Dorg.slf4j.simpleLogger.dateTimeFormat=HH:mm:ss.SSS") +
                options +
                listOf("-cp", classPath, MAIN_CLASS, words.last())
        }

        /**
         * The class path of the tests as archives only. The one with the main class comes last, so that all are open once that class is
         * loaded: a process without free descriptors can still load classes.
         */
        val classPath: String by lazy {
            val entries =
                (
                    System.getProperty(
                        "surefire.test.class.path",
                    ) ?: System.getProperty("java.class.path")
                ).split(File.pathSeparator)
            val (archives, directories) = entries.map(::File).partition { it.isFile }
            val own = directories.first { it.resolve(MAIN_CLASS.replace('.', '/') + ".class").isFile }
            (archives + archiveOf(own)).joinToString(File.pathSeparator)
        }

        fun archiveOf(directory: File): File {
            val archive = File.createTempFile("mintpick-classes-", ".jar").apply { deleteOnExit() }
            JarOutputStream(archive.outputStream()).use { jar ->
                directory.walk().filter { it.isFile }.forEach { file ->
                    jar.putNextEntry(ZipEntry(file.relativeTo(directory).invariantSeparatorsPath))
                    file.inputStream().use { it.copyTo(jar) }
                }
            }
            return archive
        }
    }
}
