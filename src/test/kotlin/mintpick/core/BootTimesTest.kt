package mintpick.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class BootTimesTest {
    private val kind = BootKind("small", "north")

    @Test
    fun `single machines that are late change nothing`() {
        val times = BootTimes()
        val before = times.lateAfter(kind) to times.lostAfter(kind)
        repeat(4) { times.booted(kind, 1.1) }
        repeat(3) { times.missing(kind) }
        assertFalse(times.isTroubled(kind))
        assertEquals(before.first, times.lateAfter(kind), 0.2)
        assertEquals(before.second, times.lostAfter(kind), 0.4)
    }

    @Test
    fun `a kind that boots late is waited for longer, up to a bound, and others are not`() {
        val times = BootTimes()
        val usual = times.lateAfter(kind)
        repeat(40) { times.missing(kind) }
        assertTrue(times.isTroubled(kind))
        assertEquals(usual * 2, times.lateAfter(kind), 1e-9)
        val other = BootKind("small", "south")
        assertFalse(times.isTroubled(other))
        assertEquals(usual, times.lateAfter(other), 1e-9)
    }

    @Test
    fun `a kind that boots in time again is trusted again`() {
        val times = BootTimes()
        repeat(9) { times.missing(kind) }
        repeat(5) { times.booted(kind, 0.9) }
        assertFalse(times.isTroubled(kind))
    }
}
