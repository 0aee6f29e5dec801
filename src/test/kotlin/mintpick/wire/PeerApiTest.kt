package mintpick.wire

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PeerApiTest {
    private val config = PropTestConfig(seed = 77)
    private val machines = arbitrary { MachineHint(Arb.string(0..12).bind(), Arb.long().bind(), Arb.list(Arb.int(0..9), 0..4).bind()) }
    private val hints =
        arbitrary { PeerHint(Arb.string(0..12).bind(), Arb.long().bind(), Arb.list(machines, 0..5).bind(), Arb.long().bind()) }

    @Test
    fun `an encoded hint decodes to the same hint`(): Unit =
        runBlocking {
            checkAll(config, hints) { hint ->
                assertEquals(
                    hint,
                    PeerProtobuf.decodeFromByteArray(PeerHint.serializer(), PeerProtobuf.encodeToByteArray(PeerHint.serializer(), hint)),
                )
            }
        }

    /** On some of these inputs the decoder throws index errors and other runtime exceptions, which must not reach the caller. */
    @Test
    fun `decoding random bytes does not throw`(): Unit =
        runBlocking {
            checkAll(config, Arb.byteArray(Arb.int(0..60), Arb.byte())) { bytes -> decodeHint(bytes) }
            assertEquals(null, decodeHint(byteArrayOf(0x0a, 0x7f, 0x01)))
        }

    /**
     * When a hint repeated image names for each machine, a hint with a third of the fleet exceeded the receiver's body limit.
     * The receiver then got no hints at all.
     */
    @Test
    fun `a hint of 1700 machines with full image caches stays below 128 KiB`() {
        val names = (1..26).map { "img-%02d".format(it) }
        val hint =
            PeerHint(
                "node-0",
                machines = (1..1700).map { MachineHint("host-%06d".format(it), 4_000_000, names.indices.toList()) },
                imageNames = names,
            )
        val bytes = PeerProtobuf.encodeToByteArray(PeerHint.serializer(), hint)
        assertTrue(bytes.size < 128 * 1024, "${bytes.size} bytes")
        assertEquals(names.toSet(), hint.imagesOn(hint.machines.last()))
    }
}
