package mintpick.upgrade

import kotlinx.serialization.KSerializer
import java.net.URLClassLoader
import java.nio.file.Files
import java.nio.file.Path

/** Where a version of the service keeps the classes that its engine is driven with, within its own package. */
internal data class EngineLayout(
    val settings: String,
    val operators: String,
    val engine: String,
    val event: String,
    /** Simple name of the subclass of [event] that requests the status page. */
    val statusRequest: String,
    val replyTo: String,
    val jobSpec: String,
    val machineReport: String,
    val peerHint: String,
) {
    /** Classes by which a layout is told. */
    val ownNames: List<String> get() = listOf(engine, replyTo, "$event\$$statusRequest")

    companion object {
        private val ONE_PACKAGE =
            EngineLayout(
                settings = "config.Settings",
                operators = "config.Operators",
                engine = "engine.Engine",
                event = "engine.Event",
                statusRequest = "Inspect",
                replyTo = "engine.ReplyTo",
                jobSpec = "wire.JobSpec",
                machineReport = "wire.MachineReport",
                peerHint = "wire.PeerHint",
            )

        /** Since the engine's packages are split by concern. */
        private val BY_CONCERN = ONE_PACKAGE.copy(event = "engine.runtime.Event", replyTo = "engine.runtime.ReplyTo")

        /** Since the rename of `Event.Inspect`. */
        private val STATUS_REQUEST = BY_CONCERN.copy(statusRequest = "StatusRequest")

        /** The layouts that versions have had: the first that a version's classes fit is taken. */
        val KNOWN = listOf(STATUS_REQUEST, BY_CONCERN, ONE_PACKAGE)
    }
}

/**
 * The version whose compiled classes are in a folder, loaded beside the present one. Libraries and the package of calls, which
 * versions have alike, are shared; everything else of the service is its own.
 */
internal class EngineVersion(
    classes: Path,
) {
    val layout: EngineLayout =
        EngineLayout.KNOWN.firstOrNull { layout -> layout.ownNames.all { Files.exists(classes.resolve(fileOf(it))) } }
            ?: error("no engine of a known layout in $classes")

    private val loader: ClassLoader = Loader(classes)

    private class Loader(
        classes: Path,
    ) : URLClassLoader(arrayOf(classes.toUri().toURL()), EngineVersion::class.java.classLoader) {
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

    companion object {
        private const val OWN = "mintpick."
        private const val SHARED = "mintpick.net."
        private const val PRIVATE = java.lang.reflect.Modifier.PRIVATE
        private val FOLDER = Path.of("target/production")

        private fun fileOf(name: String) = (OWN + name).replace('.', '/') + ".class"

        /** The version of [commit], a hash that may be shortened, as `.ci/build-commit` has compiled it. */
        fun of(commit: String): EngineVersion {
            val classes = if (commit.isEmpty()) null else folderOf(commit)
            return EngineVersion(checkNotNull(classes) { "the version $commit could not be built from the repository's history" })
        }

        private fun folderOf(commit: String): Path? {
            if (!Files.isDirectory(FOLDER)) return null
            return Files.list(FOLDER).use { found -> found.filter { it.fileName.toString().startsWith(commit) }.findFirst().orElse(null) }
        }
    }
}

/** The version in production, which `deploy/service.toml` names. */
internal object Production {
    private val COMMIT = Regex("(?m)^production = \"([0-9a-f]+)\"$")

    val version: EngineVersion by lazy {
        EngineVersion.of(
            COMMIT
                .find(Files.readString(Path.of("deploy/service.toml")))
                ?.groupValues
                ?.get(1)
                .orEmpty(),
        )
    }
}
