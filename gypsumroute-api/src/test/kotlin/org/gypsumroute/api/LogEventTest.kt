package org.gypsumroute.api

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertEquals

class LogEventTest {
    /** Guards against alarms on numbers that mean something else than the page says. */
    @Test
    fun `the catalogue lists exactly the events of the code`() {
        val listed = Path.of("../docs/log-events.md").readLines()
            .filter { Regex("\\| \\d+ \\|.*").matches(it) }
            .map { row -> row.trim('|', ' ').split(" | ") }
        val expected = LogEvent.entries.map {
            listOf("${it.number}", "`${it.name.lowercase()}`", it.level.name.lowercase(), it.text)
        }
        assertEquals(expected, listed)
        assertEquals(listed.size, listed.map { it[0] }.distinct().size)
    }
}
