package mintpick.cli

import mintpick.config.ConfigException
import mintpick.config.Operators
import mintpick.config.OperatorsFile
import mintpick.config.Settings
import mintpick.core.MILLI
import mintpick.engine.Engine
import mintpick.engine.EventLoop
import mintpick.engine.runtime.Event
import mintpick.net.HttpCaller
import mintpick.net.JdkServer
import mintpick.users.Routes
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.security.SecureRandom
import java.util.SplittableRandom
import java.util.concurrent.Callable
import kotlin.system.exitProcess

@Command(name = "mintpick", mixinStandardHelpOptions = true, version = ["mintpick 0.1.0"], description = ["A cluster scheduler."])
class MintpickCommand : Callable<Int> {
    @Option(names = ["--config"], paramLabel = "FILE", description = ["The platform's settings (TOML)."])
    private var config: Path? = null

    @Option(names = ["--operators"], paramLabel = "FILE", description = ["The operators' own settings (YAML)."])
    private var operators: Path? = null

    @Option(names = ["--check"], description = ["Check the settings and end."])
    private var checkOnly: Boolean = false

    /** For the build alone: see ClassDataTraining. */
    @Option(names = ["--train-class-data"], hidden = true)
    private var trainClassData: Boolean = false

    override fun call(): Int {
        if (trainClassData) {
            ClassDataTraining.run()
            return CommandLine.ExitCode.OK
        }
        val path = config
        if (path == null) {
            System.err.println("mintpick: --config: missing")
            return CommandLine.ExitCode.USAGE
        }
        val (settings, own) =
            try {
                Settings.load(path) to (operators?.let { OperatorsFile.load(it) } ?: Operators())
            } catch (e: ConfigException) {
                System.err.println("mintpick: ${e.message}")
                return CommandLine.ExitCode.USAGE
            }
        if (checkOnly) {
            println("mintpick: settings of ${settings.node} are valid")
            return CommandLine.ExitCode.OK
        }
        serve(settings, own)
        return CommandLine.ExitCode.OK
    }

    private fun serve(
        settings: Settings,
        operators: Operators,
    ) {
        val log = LoggerFactory.getLogger("mintpick")
        JdkServer.prepare(settings.resources.maxConnections * 3 / 4)
        val engine = Engine(settings, operators, SplittableRandom(SecureRandom().nextLong()))
        lateinit var eventLoop: EventLoop
        val caller = HttpCaller { id, outcome -> eventLoop.put(Event.CallDone(id, outcome)) }
        val steady = { System.nanoTime() / MILLI }
        eventLoop = EventLoop(engine, caller::start, steady, { System.currentTimeMillis() * MILLI })
        val routes = Routes(eventLoop::offer, eventLoop::isUp, maxOf(MIN_WAITING, settings.resources.maxConnections / WAITING_PART), steady)
        JdkServer(settings.mesh, MESH_THREADS).start(routes.mesh)
        JdkServer(settings.api, API_THREADS).start(routes.api)
        Thread(null, { while (true) routes.giveUpLate().also { Thread.sleep(LATE_MS) } }, "late").apply { isDaemon = true }.start()
        log.info("started node={} zone={} api={} mesh={}", settings.node, settings.zone, settings.api, settings.mesh)
        eventLoop.run()
    }

    private companion object {
        const val MESH_THREADS = 6
        const val API_THREADS = 32

        /** Users' requests that may wait at once: a part of the sockets, so that workers and health checks keep theirs. */
        const val MIN_WAITING = 48
        const val WAITING_PART = 8
        const val LATE_MS = 250L
    }
}

fun main(args: Array<String>) {
    Logging.configure(System.getenv("LOG_LEVEL"))
    exitProcess(CommandLine(MintpickCommand()).execute(*args))
}
