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

/**
 * A controller that runs the engine of [version] with the settings [toml]. Events and effects are converted between the classes of
 * both versions; [cpuTime] measures the engine's steps without this conversion.
 */
internal class VersionedEngine(
    private val version: EngineVersion,
    toml: String,
    random: SplittableRandom,
    private val cpuTime: StepCpuTime = StepCpuTime(),
) : SimulatedCluster.Controller {
    private val layout = version.layout
    private val engine: Any
    private val step: Method

    init {
        val settings = version.companion(layout.settings).let { it.javaClass.getMethod("parse", String::class.java).invoke(it, toml) }
        val operators = version.classOf(layout.operators).getDeclaredConstructor().newInstance()
        engine = version.newInstance(layout.engine, settings, operators, random)
        step = engine.javaClass.methods.first { it.name == "step" }
    }

    override fun step(
        now: Micros,
        wallClockUs: Micros,
        events: List<Event>,
    ): List<Effect> {
        val versionEvents = events.map(::toVersion)
        val effects = cpuTime.measure { invoke(now, wallClockUs, versionEvents) }
        return effects.map { toPresent(requireNotNull(it)) }
    }

    /** Calls the engine's step and rethrows its exceptions unwrapped. */
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

    private fun toVersion(event: Event): Any =
        when (event) {
            is Event.Submit -> newEvent("Submit", toVersion(layout.jobSpec, JobSpec.serializer(), event.spec), toVersion(event.reply))
            is Event.Malformed -> newEvent("Malformed", event.id.text, event.reason, toVersion(event.reply))
            is Event.Poll -> newEvent("Poll", event.id.text, toVersion(event.reply))
            is Event.Cancel -> newEvent("Cancel", event.id.text, toVersion(event.reply))
            is Event.Report -> {
                val report = toVersion(layout.machineReport, MachineReport.serializer(), event.report)
                newEvent("Report", report, toVersion(event.reply))
            }
            is Event.Hint -> newEvent("Hint", toVersion(event.hint), toVersion(event.reply))
            is Event.StatusRequest -> newEvent(layout.statusRequest, toVersion(event.reply))
            is Event.CallDone -> newEvent("CallDone", event.id, event.outcome)
        }

    private fun newEvent(
        event: String,
        vararg values: Any?,
    ): Any = version.newInstance("${layout.event}\$$event", *values)

    private fun toVersion(hint: PeerHint): Any {
        val bytes = PeerProtobuf.encodeToByteArray(PeerHint.serializer(), hint)
        return PeerProtobuf.decodeFromByteArray(version.serializer(layout.peerHint), bytes)
    }

    private fun <T> toVersion(
        name: String,
        serializer: KSerializer<T>,
        value: T,
    ): Any = WireJson.decodeFromString(version.serializer(name), WireJson.encodeToString(serializer, value))

    /** Implements the version's reply interface by forwarding to [reply]. */
    private class ReplyHandler(
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

    private fun toVersion(reply: ReplyTo): Any {
        val type = version.classOf(layout.replyTo)
        return Proxy.newProxyInstance(type.classLoader, arrayOf(type), ReplyHandler(reply))
    }

    private fun toPresent(effect: Any): Effect {
        fun property(name: String) = effect.javaClass.getMethod("get$name").invoke(effect)
        if (effect.javaClass.simpleName == "Start") return Effect.Start(property("Id") as Long, property("Call") as Call)
        return Effect.Send((Proxy.getInvocationHandler(property("Reply")) as ReplyHandler).reply, property("Answer") as Answer)
    }
}
