package mintpick.differential

import mintpick.engine.runtime.Effect

/** What an engine made of one step. */
internal sealed interface StepResult {
    class Returned(
        val effects: List<Effect>,
    ) : StepResult

    class Failed(
        val cause: Throwable,
    ) : StepResult
}

/** Runs [step] and keeps what it throws as its result. */
internal fun resultOf(step: () -> List<Effect>): StepResult =
    try {
        StepResult.Returned(step())
    } catch (e: Exception) {
        StepResult.Failed(e)
    } catch (e: LinkageError) {
        // A class that one version lacks is a difference; what the machine lacks, memory for one, is not.
        StepResult.Failed(e)
    } catch (e: AssertionError) {
        StepResult.Failed(e)
    }

/** In what [base] and [present] first differ, or null if they are alike byte by byte. */
internal fun differenceOf(
    base: StepResult,
    present: StepResult,
): String? =
    when {
        base is StepResult.Returned && present is StepResult.Returned -> differenceOf(base.effects, present.effects)
        base is StepResult.Failed && present is StepResult.Failed && alike(base.cause, present.cause) -> null
        else -> "base:    ${base.shown()}\npresent: ${present.shown()}"
    }

private fun StepResult.shown(): String =
    when (this) {
        is StepResult.Returned -> "${effects.size} effects"
        is StepResult.Failed -> "threw ${cause.stackTraceToString()}"
    }

/** By simple name: a version's own exceptions may have moved to another package. */
private fun alike(
    base: Throwable,
    present: Throwable,
): Boolean = base.javaClass.simpleName == present.javaClass.simpleName && base.message == present.message

private fun differenceOf(
    base: List<Effect>,
    present: List<Effect>,
): String? {
    val index = (0 until maxOf(base.size, present.size)).firstOrNull { !alike(base.getOrNull(it), present.getOrNull(it)) } ?: return null
    return "effect ${index + 1} (base has ${base.size}, present has ${present.size})\n" +
        "base:    ${base.getOrNull(index)?.shown() ?: "none"}\n" +
        "present: ${present.getOrNull(index)?.shown() ?: "none"}"
}

private fun alike(
    base: Effect?,
    present: Effect?,
): Boolean =
    when {
        base is Effect.Start && present is Effect.Start -> alike(base, present)
        base is Effect.Send && present is Effect.Send -> alike(base, present)
        else -> false
    }

private fun alike(
    base: Effect.Start,
    present: Effect.Start,
): Boolean =
    base.id == present.id &&
        base.call.target == present.call.target &&
        base.call.method == present.call.method &&
        base.call.path == present.call.path &&
        base.call.timeoutUs == present.call.timeoutUs &&
        base.call.contentType == present.call.contentType &&
        base.call.body.contentEquals(present.call.body)

private fun alike(
    base: Effect.Send,
    present: Effect.Send,
): Boolean =
    base.reply === present.reply &&
        base.answer.status == present.answer.status &&
        base.answer.retryAfterS == present.answer.retryAfterS &&
        base.answer.contentType == present.answer.contentType &&
        base.answer.closes == present.answer.closes &&
        base.answer.body.contentEquals(present.answer.body)
