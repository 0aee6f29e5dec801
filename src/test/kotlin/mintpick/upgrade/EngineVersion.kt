package mintpick.upgrade

import kotlinx.serialization.KSerializer
import java.net.URLClassLoader
import java.nio.file.Files
import java.nio.file.Path

/** Names, relative to the root package, of the classes of one version that the tests use to run its engine. */
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
    /** Classes whose presence identifies this layout. */
    val distinguishingClasses: List<String> get() = listOf(engine, replyTo, "$event\$$statusRequest")

    companion object {
        /** Layout with all classes of the engine in one package. */
        private val SINGLE_PACKAGE =
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

        /** Layout after the engine was split into packages by concern. */
        private val SPLIT_PACKAGES = SINGLE_PACKAGE.copy(event = "engine.runtime.Event", replyTo = "engine.runtime.ReplyTo")

        /** Layout after `Event.Inspect` was renamed to `Event.StatusRequest`. */
        private val RENAMED_STATUS_REQUEST = SPLIT_PACKAGES.copy(statusRequest = "StatusRequest")

        /** All known layouts, newest first. The first one whose distinguishing classes all exist is used. */
        val KNOWN = listOf(RENAMED_STATUS_REQUEST, SPLIT_PACKAGES, SINGLE_PACKAGE)
    }
}

/**
 * A version of the service, loaded from a folder of compiled classes by a class loader of its own, beside the present version.
 * Libraries and the package `mintpick.net`, which is the same in all versions, are shared; all other classes are loaded separately.
 */
internal class EngineVersion(
    classes: Path,
) {
    val layout: EngineLayout =
        EngineLayout.KNOWN.firstOrNull { layout -> layout.distinguishingClasses.all { Files.exists(classes.resolve(classFileOf(it))) } }
            ?: error("no engine of a known layout in $classes")

    private val loader: ClassLoader = VersionClassLoader(classes)

    private class VersionClassLoader(
        classes: Path,
    ) : URLClassLoader(arrayOf(classes.toUri().toURL()), EngineVersion::class.java.classLoader) {
        override fun loadClass(
            name: String,
            resolve: Boolean,
        ): Class<*> {
            if (!name.startsWith(ROOT_PACKAGE) || name.startsWith(SHARED_PACKAGE)) return super.loadClass(name, resolve)
            return synchronized(getClassLoadingLock(name)) { findLoadedClass(name) ?: findClass(name) }
        }
    }

    fun classOf(name: String): Class<*> = loader.loadClass(ROOT_PACKAGE + name)

    /** The companion object of the class [name]. */
    fun companion(name: String): Any = classOf(name).getField("Companion").get(null)

    @Suppress("UNCHECKED_CAST")
    fun serializer(name: String): KSerializer<Any> =
        companion(name).let { it.javaClass.getMethod("serializer").invoke(it) as KSerializer<Any> }

    /** Calls the constructor of the class [name]. Arguments of value classes are passed as their underlying values. */
    fun newInstance(
        name: String,
        vararg values: Any?,
    ): Any {
        val constructors = classOf(name).declaredConstructors
        val direct = constructors.firstOrNull { it.parameterCount == values.size && !it.isSynthetic && it.modifiers and PRIVATE == 0 }
        if (direct != null) return direct.newInstance(*values)
        // A value class parameter makes the constructor private; the compiler adds a public one with a marker as last parameter.
        return constructors.first { it.parameterCount == values.size + 1 && it.isSynthetic }.newInstance(*values, null)
    }

    companion object {
        private const val ROOT_PACKAGE = "mintpick."
        private const val SHARED_PACKAGE = "mintpick.net."
        private const val PRIVATE = java.lang.reflect.Modifier.PRIVATE
        private val BUILDS_FOLDER = Path.of("target/production")

        private fun classFileOf(name: String) = (ROOT_PACKAGE + name).replace('.', '/') + ".class"

        /** The version of [commit], a full or abbreviated hash, as compiled by `.ci/build-commit`. */
        fun of(commit: String): EngineVersion {
            val classes = if (commit.isEmpty()) null else buildFolderOf(commit)
            return EngineVersion(
                checkNotNull(classes) { "no compiled classes of version '$commit' in $BUILDS_FOLDER, see .ci/build-commit" },
            )
        }

        private fun buildFolderOf(commit: String): Path? {
            if (!Files.isDirectory(BUILDS_FOLDER)) return null
            return Files.list(BUILDS_FOLDER).use { folders ->
                folders.filter { it.fileName.toString().startsWith(commit) }.findFirst().orElse(null)
            }
        }
    }
}

/** The version in production, as named in `deploy/service.toml`. */
internal object Production {
    private val COMMIT_PATTERN = Regex("(?m)^production = \"([0-9a-f]+)\"$")

    val version: EngineVersion by lazy {
        EngineVersion.of(
            COMMIT_PATTERN
                .find(Files.readString(Path.of("deploy/service.toml")))
                ?.groupValues
                ?.get(1)
                .orEmpty(),
        )
    }
}
