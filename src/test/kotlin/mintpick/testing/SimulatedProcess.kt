package mintpick.testing

import mintpick.core.Micros
import mintpick.engine.EventLoop
import mintpick.engine.StateMachine
import mintpick.engine.runtime.Effect
import mintpick.engine.runtime.Event
import mintpick.engine.runtime.ReplyTo
import mintpick.net.Call
import mintpick.net.errorAnswer

/** Performs the effects of a simulated process. */
internal interface EffectSink {
    /** Delivers an answer at [delay] from now. */
    fun send(
        delay: Micros,
        send: Effect.Send,
    )

    /** Starts [call] at [delay] from now; its outcome is delivered as an event. */
    fun start(
        delay: Micros,
        id: Long,
        call: Call,
    )
}

/** How the process of a simulated controller queues events and runs its engine. */
internal interface SimulatedProcess {
    /** Whether the health check succeeds. */
    val isUp: Boolean

    /** Effects that the process has discarded because their step exceeded its time limit. */
    val discardedEffects: Long

    /** Queues [event]; a request that does not fit is refused. */
    fun deliver(event: Event)

    /** Runs one step at [now] of the process's monotonic clock; returns how long the process is busy with it. */
    fun step(
        now: Micros,
        wallClockUs: Micros,
    ): Micros
}

/** A process whose steps take no time. */
internal class InstantProcess(
    private val engine: SimulatedCluster.Controller,
    private val sink: EffectSink,
    private val onEvents: (Int) -> Unit,
) : SimulatedProcess {
    private val inbox = ArrayList<Event>()

    override val isUp: Boolean = true
    override val discardedEffects: Long = 0

    override fun deliver(event: Event) {
        inbox += event
    }

    override fun step(
        now: Micros,
        wallClockUs: Micros,
    ): Micros {
        val batch = inbox.toList()
        inbox.clear()
        onEvents(batch.size)
        for (effect in engine.step(now, wallClockUs, batch)) {
            when (effect) {
                is Effect.Send -> sink.send(0, effect)
                is Effect.Start -> sink.start(0, effect.id, effect.call)
            }
        }
        return 0
    }
}

/** A process that runs the service's event loop, with its queue and its time limits, and is charged [costs] for each step. */
internal class ChargedProcess(
    private val engine: SimulatedCluster.Controller,
    costs: ProcessorCosts,
    private val sink: EffectSink,
    private val onEvents: (Int) -> Unit,
) : SimulatedProcess {
    private val costs = costs.Meter()
    private var stepStartUs: Micros = 0
    private var wallClockUs: Micros = 0
    private var usedUs: Micros = 0
    private val loop = EventLoop(ChargedEngine(), ::startCall, { stepStartUs + usedUs }, { wallClockUs + usedUs })

    /** Outcomes that found the queue full. The threads that make the calls would wait with them. */
    private val blockedOutcomes = ArrayDeque<Event>()

    override val isUp: Boolean get() = loop.isUp()
    override val discardedEffects: Long get() = loop.discardedEffects

    override fun deliver(event: Event) {
        val reply = event.reply()
        if (reply == null) {
            blockedOutcomes += event
        } else if (!loop.offer(event)) {
            reply.answer(errorAnswer(UNAVAILABLE, "too many requests", retryAfterS = 1))
        }
    }

    override fun step(
        now: Micros,
        wallClockUs: Micros,
    ): Micros {
        stepStartUs = now
        this.wallClockUs = wallClockUs
        usedUs = 0
        while (blockedOutcomes.isNotEmpty() && loop.offer(blockedOutcomes.first())) blockedOutcomes.removeFirst()
        loop.runOnce(maxWaitUs = 0)
        return usedUs
    }

    private fun startCall(
        id: Long,
        call: Call,
    ): Boolean {
        sink.start(usedUs, id, call)
        return true
    }

    private fun Event.reply(): ReplyTo? =
        when (this) {
            is Event.Submit -> reply
            is Event.Malformed -> reply
            is Event.Poll -> reply
            is Event.Cancel -> reply
            is Event.Report -> reply
            is Event.Hint -> reply
            is Event.StatusRequest -> reply
            is Event.CallDone -> null
        }

    /** The engine, whose steps and effects are charged. */
    private inner class ChargedEngine : StateMachine {
        override val isUp: Boolean get() = reasonForDown == null
        override val reasonForDown: String? get() = (engine as? StateMachine)?.reasonForDown

        override fun step(
            now: Micros,
            wallClockUs: Micros,
            events: List<Event>,
        ): List<Effect> {
            onEvents(events.size)
            val effects = engine.step(now, wallClockUs, events)
            usedUs += costs.ofStep(events)
            return effects.map(::charged)
        }

        /** [effect], which uses processor time when it is performed. */
        private fun charged(effect: Effect): Effect {
            if (effect is Effect.Start) {
                usedUs += costs.of(effect)
                return effect
            }
            val send = effect as Effect.Send
            val reply =
                ReplyTo { answer ->
                    usedUs += costs.of(send)
                    sink.send(usedUs, Effect.Send(send.reply, answer))
                }
            return Effect.Send(reply, send.answer)
        }

        override fun takeReport(): String = (engine as? StateMachine)?.takeReport().orEmpty()
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
