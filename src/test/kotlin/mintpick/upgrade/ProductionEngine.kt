package mintpick.upgrade

import kotlinx.serialization.KSerializer
import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.sim.World
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.MeshProtobuf
import mintpick.wire.PeerHint
import mintpick.wire.WireJson
import java.lang.reflect.InvocationHandler
import java.lang.reflect.Proxy
import java.net.URLClassLoader
import java.nio.file.Files
import java.nio.file.Path
import java.util.SplittableRandom

/**
 * The version in production, compiled from the repository's history and loaded beside the present one. Libraries and the
 * package of calls, which both versions have alike, are shared; everything else of the service is its own.
 */
internal object Production {
    private const val OWN = "mintpick."
    private const val SHARED = "mintpick.net."
    private val COMMIT = Regex("(?m)^production = \"([0-9a-f]+)\"$")

    private val loader: ClassLoader by lazy {
        val commit = COMMIT.find(Files.readString(Path.of("deploy/service.toml")))?.groupValues?.get(1)
        val classes = Path.of("target/production/$commit")
        check(Files.isDirectory(classes)) { "the version in production, $commit, could not be built from the repository's history" }
        Loader(classes)
    }

    private class Loader(
        classes: Path,
    ) : URLClassLoader(arrayOf(classes.toUri().toURL()), Production::class.java.classLoader) {
        override fun loadClass(
            name: String,
            resolve: Boolean,
        ): Class<*> {
            if (!name.startsWith(OWN) || name.startsWith(SHARED)) return super.loadClass(name, resolve)
            return synchronized(getClassLoadingLock(name)) { findLoadedClass(name) ?: findClass(name) }
        }
    }

    fun classOf(name: String): Class<*> = loader.loadClass(OWN + name)

    /** The instance of an object, or of the companion of a class. */
    fun companion(name: String): Any = classOf(name).getField("Companion").get(null)

    @Suppress("UNCHECKED_CAST")
    fun serializer(name: String): KSerializer<Any> =
        companion(name).let { it.javaClass.getMethod("serializer").invoke(it) as KSerializer<Any> }

    /** Builds an object of a class whose parameters, value classes among them, are given as they are stored. */
    fun create(
        name: String,
        vararg values: Any?,
    ): Any {
        val constructors = classOf(name).declaredConstructors
        val plain = constructors.firstOrNull { it.parameterCount == values.size && !it.isSynthetic && it.modifiers and PRIVATE == 0 }
        if (plain != null) return plain.newInstance(*values)
        // A parameter of a value class makes the constructor private; the public one has a marker at its end.
        return constructors.first { it.parameterCount == values.size + 1 && it.isSynthetic }.newInstance(*values, null)
    }

    private const val PRIVATE = java.lang.reflect.Modifier.PRIVATE
}

/** A controller that runs the version in production, with [toml] as its settings. */
internal class ProductionEngine(
    toml: String,
    random: SplittableRandom,
) : World.Controller {
    private val engine: Any
    private val step by lazy { engine.javaClass.methods.first { it.name == "step" } }

    init {
        val settings = Production.companion("config.Settings").let { it.javaClass.getMethod("parse", String::class.java).invoke(it, toml) }
        val operators = Production.classOf("config.Operators").getDeclaredConstructor().newInstance()
        engine = Production.create("engine.Engine", settings, operators, random)
    }

    override fun step(
        now: Micros,
        wall: Micros,
        events: List<Event>,
    ): List<Effect> = (step.invoke(engine, now, wall, events.map(::old)) as List<*>).map { present(requireNotNull(it)) }

    private fun old(event: Event): Any =
        when (event) {
            is Event.Submit ->
                Production.create(
                    "engine.Event\$Submit",
                    old("wire.JobSpec", JobSpec.serializer(), event.spec),
                    old(event.reply),
                )
            is Event.Malformed -> Production.create("engine.Event\$Malformed", event.id.text, event.reason, old(event.reply))
            is Event.Poll -> Production.create("engine.Event\$Poll", event.id.text, old(event.reply))
            is Event.Cancel -> Production.create("engine.Event\$Cancel", event.id.text, old(event.reply))
            is Event.Report ->
                Production.create(
                    "engine.Event\$Report",
                    old("wire.MachineReport", MachineReport.serializer(), event.report),
                    old(event.reply),
                )
            is Event.Hint -> {
                val bytes = MeshProtobuf.encodeToByteArray(PeerHint.serializer(), event.hint)
                val hint = MeshProtobuf.decodeFromByteArray(Production.serializer("wire.PeerHint"), bytes)
                Production.create("engine.Event\$Hint", hint, old(event.reply))
            }
            is Event.Inspect -> Production.create("engine.Event\$Inspect", old(event.reply))
            is Event.CallDone -> Production.create("engine.Event\$CallDone", event.id, event.outcome)
        }

    private fun <T> old(
        name: String,
        serializer: KSerializer<T>,
        value: T,
    ): Any = WireJson.decodeFromString(Production.serializer(name), WireJson.encodeToString(serializer, value))

    private class Handler(
        val reply: ReplyTo,
    ) : InvocationHandler {
        override fun invoke(
            proxy: Any,
            method: java.lang.reflect.Method,
            arguments: Array<out Any?>?,
        ): Any? {
            if (method.name == "answer") reply.answer(arguments?.single() as Answer)
            return null
        }
    }

    private fun old(reply: ReplyTo): Any {
        val type = Production.classOf("engine.ReplyTo")
        return Proxy.newProxyInstance(type.classLoader, arrayOf(type), Handler(reply))
    }

    private fun present(effect: Any): Effect {
        fun read(name: String) = effect.javaClass.getMethod("get$name").invoke(effect)
        if (effect.javaClass.simpleName == "Start") return Effect.Start(read("Id") as Long, read("Call") as Call)
        return Effect.Send((Proxy.getInvocationHandler(read("Reply")) as Handler).reply, read("Answer") as Answer)
    }
}
