package mintpick.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class BootTimesTest {
    private val kind = BootKind("small", "north")

    @Test
    fun `a minority of overdue machines hardly changes the timeouts`() {
        val times = BootTimes()
        val before = times.replaceAfterMultiple(kind) to times.releaseAfterMultiple(kind)
        repeat(4) { times.recordBoot(kind, 1.1) }
        repeat(3) { times.recordOverdue(kind) }
        assertFalse(times.isSlow(kind))
        assertEquals(before.first, times.replaceAfterMultiple(kind), 0.2)
        assertEquals(before.second, times.releaseAfterMultiple(kind), 0.4)
    }

    @Test
    fun `a slow kind gets longer timeouts up to a limit, and other kinds do not`() {
        val times = BootTimes()
        val usual = times.replaceAfterMultiple(kind)
        repeat(40) { times.recordOverdue(kind) }
        assertTrue(times.isSlow(kind))
        assertEquals(usual * 2, times.replaceAfterMultiple(kind), 1e-9)
        val other = BootKind("small", "south")
        assertFalse(times.isSlow(other))
        assertEquals(usual, times.replaceAfterMultiple(other), 1e-9)
    }

    @Test
    fun `a kind that boots in time again is no longer slow`() {
        val times = BootTimes()
        repeat(9) { times.recordOverdue(kind) }
        repeat(5) { times.recordBoot(kind, 0.9) }
        assertFalse(times.isSlow(kind))
    }
}
