package org.gypsumroute.runtime

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import org.gypsumroute.api.LogEvent

class LogCatalogueTest {
    @Test
    fun `the documented log events are exactly those in the code`() {
        val row = Regex("""^\| (\d+) \| (\w+) \| `(\w+)` \| [^|]+ \| [^|]+ \|$""")
        val listed = File("../docs/log-events.md").readLines()
            .mapNotNull { row.find(it)?.destructured?.toList() }
        val declared = LogEvent.entries
            .map { listOf("${it.number}", it.level.name.lowercase(), it.name.lowercase()) }
        assertEquals(declared, listed)
    }

    @Test
    fun `event numbers are unique`() {
        assertEquals(LogEvent.entries.size, LogEvent.entries.distinctBy { it.number }.size)
    }
}
