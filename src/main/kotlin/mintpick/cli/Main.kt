package mintpick.cli

import mintpick.config.ConfigException
import mintpick.config.Operators
import mintpick.config.OperatorsFile
import mintpick.config.Settings
import mintpick.config.SocketBudget
import mintpick.core.MemoryBudget
import mintpick.core.SECOND
import mintpick.net.JdkServer
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.security.SecureRandom
import java.util.SplittableRandom
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** The command line. Missing or invalid settings end it with the usage exit code and one line on standard error. */
@Command(name = "mintpick", mixinStandardHelpOptions = true, version = ["mintpick 0.1.0"], description = ["A cluster scheduler."])
class MintpickCommand : Callable<Int> {
    @Option(names = ["--config"], paramLabel = "FILE", description = ["The platform's settings (TOML)."])
    private var config: Path? = null

    @Option(names = ["--operators"], paramLabel = "FILE", description = ["The operators' own settings (YAML)."])
    private var operators: Path? = null

    @Option(names = ["--check"], description = ["Check the settings and exit."])
    private var checkOnly: Boolean = false

    /** Only for the build, see [ClassDataTraining]. */
    @Option(names = ["--train-class-data"], hidden = true)
    private var trainClassData: Boolean = false

    /** Settings read from the files given on the command line. */
    private data class LoadedSettings(
        val settings: Settings,
        val operators: Operators,
    )

    /** Runs the service until its thread is interrupted, or the check or training run selected by an option. Returns the exit code. */
    override fun call(): Int {
        if (trainClassData) {
            ClassDataTraining.run()
            return CommandLine.ExitCode.OK
        }
        val path = config ?: return usageError("--config: missing, must name the platform's settings file (TOML)")
        val loaded =
            try {
                load(path)
            } catch (e: ConfigException) {
                return usageError(e.message)
            }
        if (checkOnly) {
            println("mintpick: settings of ${loaded.settings.node} are valid")
        } else {
            serve(loaded)
        }
        return CommandLine.ExitCode.OK
    }

    private fun usageError(message: String?): Int {
        System.err.println("mintpick: $message")
        return CommandLine.ExitCode.USAGE
    }

    private fun load(config: Path): LoadedSettings {
        val settings = Settings.load(config)
        return LoadedSettings(settings, operators?.let { OperatorsFile.load(it) } ?: Operators())
    }

    private fun serve(loaded: LoadedSettings) {
        val settings = loaded.settings
        val sockets = SocketBudget(settings.resources.maxConnections, settings.peers.size)
        val idleS = maxOf(MIN_IDLE_CONNECTION_S, settings.heartbeatIntervalUs * HEARTBEATS_UNTIL_IDLE / SECOND)
        JdkServer.prepare(sockets.clients, sockets.keptAgents + sockets.users, idleS)
        val limits = ServiceLimits(API_THREADS, PEER_API_THREADS, sockets, idleS, MemoryBudget(Runtime.getRuntime().maxMemory()))
        Service(settings, loaded.operators, SplittableRandom(SecureRandom().nextLong()), limits).use { service ->
            service.start()
            LOG.info("started node={} zone={} api={} mesh={}", settings.node, settings.zone, settings.api, settings.peerApi)
            service.run()
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger("mintpick")
        const val PEER_API_THREADS = 6
        const val API_THREADS = 32

        /** Longer than users wait between two polls. */
        const val MIN_IDLE_CONNECTION_S = 15L
        const val HEARTBEATS_UNTIL_IDLE = 3
    }
}

/** Runs the command line and ends the process with its exit code. The environment variable LOG_LEVEL sets the log level. */
fun main(args: Array<String>) {
    Logging.configure(System.getenv("LOG_LEVEL"))
    exitProcess(CommandLine(MintpickCommand()).execute(*args))
}
