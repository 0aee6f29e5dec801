package mintpick.upgrade

import kotlinx.serialization.KSerializer
import mintpick.core.Micros
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Answer
import mintpick.net.Call
import mintpick.testing.SimulatedCluster
import mintpick.wire.JobSpec
import mintpick.wire.MachineReport
import mintpick.wire.PeerHint
import mintpick.wire.PeerProtobuf
import mintpick.wire.WireJson
import java.lang.reflect.InvocationHandler
import java.lang.reflect.InvocationTargetException
import java.lang.reflect.Method
import java.lang.reflect.Proxy
import java.util.SplittableRandom

/** A controller that runs the engine of [version], with [toml] as its settings; [cost] takes what its steps alone cost. */
internal class VersionedEngine(
    private val version: EngineVersion,
    toml: String,
    random: SplittableRandom,
    private val cost: StepCost = StepCost(),
) : SimulatedCluster.Controller {
    private val layout = version.layout
    private val engine: Any
    private val step: Method

    init {
        val settings = version.companion(layout.settings).let { it.javaClass.getMethod("parse", String::class.java).invoke(it, toml) }
        val operators = version.classOf(layout.operators).getDeclaredConstructor().newInstance()
        engine = version.create(layout.engine, settings, operators, random)
        step = engine.javaClass.methods.first { it.name == "step" }
    }

    override fun step(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        val translated = events.map(::own)
        val effects = cost.measure { invoke(now, wallClockUs, translated) }
        return effects.map { present(requireNotNull(it)) }
    }

    /** What the engine itself throws comes out as it is. */
    private fun invoke(
        now: Micros,
        wallClockUs: Micros,
        events: List<Any>,
    ): List<*> =
        try {
            step.invoke(engine, now, wallClockUs, events) as List<*>
        } catch (e: InvocationTargetException) {
            throw e.targetException
        }

    private fun own(event: Event): Any =
        when (event) {
            is Event.Submit -> create("Submit", own(layout.jobSpec, JobSpec.serializer(), event.spec), own(event.reply))
            is Event.Malformed -> create("Malformed", event.id.text, event.reason, own(event.reply))
            is Event.Poll -> create("Poll", event.id.text, own(event.reply))
            is Event.Cancel -> create("Cancel", event.id.text, own(event.reply))
            is Event.Report -> create("Report", own(layout.machineReport, MachineReport.serializer(), event.report), own(event.reply))
            is Event.Hint -> create("Hint", own(event.hint), own(event.reply))
            is Event.StatusRequest -> create(layout.statusRequest, own(event.reply))
            is Event.CallDone -> create("CallDone", event.id, event.outcome)
        }

    private fun create(
        event: String,
        vararg values: Any?,
    ): Any = version.create("${layout.event}\$$event", *values)

    private fun own(hint: PeerHint): Any {
        val bytes = PeerProtobuf.encodeToByteArray(PeerHint.serializer(), hint)
        return PeerProtobuf.decodeFromByteArray(version.serializer(layout.peerHint), bytes)
    }

    private fun <T> own(
        name: String,
        serializer: KSerializer<T>,
        value: T,
    ): Any = WireJson.decodeFromString(version.serializer(name), WireJson.encodeToString(serializer, value))

    private class Handler(
        val reply: ReplyTo,
    ) : InvocationHandler {
        override fun invoke(
            proxy: Any,
            method: Method,
            arguments: Array<out Any?>?,
        ): Any? =
            when (method.name) {
                "answer" -> reply.answer(arguments?.single() as Answer).let { null }
                "hashCode" -> System.identityHashCode(proxy)
                "equals" -> proxy === arguments?.single()
                "toString" -> reply.toString()
                else -> null
            }
    }

    private fun own(reply: ReplyTo): Any {
        val type = version.classOf(layout.replyTo)
        return Proxy.newProxyInstance(type.classLoader, arrayOf(type), Handler(reply))
    }

    private fun present(effect: Any): Effect {
        fun read(name: String) = effect.javaClass.getMethod("get$name").invoke(effect)
        if (effect.javaClass.simpleName == "Start") return Effect.Start(read("Id") as Long, read("Call") as Call)
        return Effect.Send((Proxy.getInvocationHandler(read("Reply")) as Handler).reply, read("Answer") as Answer)
    }
}
