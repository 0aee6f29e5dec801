package mintpick.differential

import mintpick.engine.runtime.Effect

/** Result of one step of an engine: its effects or the exception that it threw. */
internal sealed interface StepResult {
    class Returned(
        val effects: List<Effect>,
    ) : StepResult

    class Failed(
        val cause: Throwable,
    ) : StepResult
}

/** Runs [step] and returns its effects, or what it threw as a failure. */
internal fun resultOf(step: () -> List<Effect>): StepResult =
    try {
        StepResult.Returned(step())
    } catch (e: Exception) {
        StepResult.Failed(e)
    } catch (e: LinkageError) {
        // A class missing in one version is a difference. Other JVM errors, such as lack of memory, are not and propagate.
        StepResult.Failed(e)
    } catch (e: AssertionError) {
        StepResult.Failed(e)
    }

/** Describes the first difference between [base] and [present], or returns null if they are equal byte by byte. */
internal fun differenceOf(
    base: StepResult,
    present: StepResult,
): String? =
    when {
        base is StepResult.Returned && present is StepResult.Returned -> differenceOf(base.effects, present.effects)
        base is StepResult.Failed && present is StepResult.Failed && areEqual(base.cause, present.cause) -> null
        else -> "base:    ${base.describe()}\npresent: ${present.describe()}"
    }

private fun StepResult.describe(): String =
    when (this) {
        is StepResult.Returned -> "${effects.size} effects"
        is StepResult.Failed -> "threw ${cause.stackTraceToString()}"
    }

/** Compares simple class names, because exceptions of the service may have moved to another package. */
private fun areEqual(
    base: Throwable,
    present: Throwable,
): Boolean = base.javaClass.simpleName == present.javaClass.simpleName && base.message == present.message

private fun differenceOf(
    base: List<Effect>,
    present: List<Effect>,
): String? {
    val positions = 0 until maxOf(base.size, present.size)
    val index = positions.firstOrNull { !areEqual(base.getOrNull(it), present.getOrNull(it)) } ?: return null
    return "effect ${index + 1} (base has ${base.size}, present has ${present.size})\n" +
        "base:    ${base.getOrNull(index)?.describe() ?: "none"}\n" +
        "present: ${present.getOrNull(index)?.describe() ?: "none"}"
}

private fun areEqual(
    base: Effect?,
    present: Effect?,
): Boolean =
    when {
        base is Effect.Start && present is Effect.Start -> areEqual(base, present)
        base is Effect.Send && present is Effect.Send -> areEqual(base, present)
        else -> false
    }

private fun areEqual(
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

private fun areEqual(
    base: Effect.Send,
    present: Effect.Send,
): Boolean =
    base.reply === present.reply &&
        base.answer.status == present.answer.status &&
        base.answer.retryAfterS == present.answer.retryAfterS &&
        base.answer.contentType == present.answer.contentType &&
        base.answer.closes == present.answer.closes &&
        base.answer.body.contentEquals(present.answer.body)
