package org.gypsumroute.api

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

/** Guards against error kinds that are undocumented, and against unsafe retry advice. */
class ErrorKindTest {
    @Test
    fun `the table in the docs has exactly the rows of the code`() {
        val documented = Files.readAllLines(Path.of("../docs/errors.md"))
            .filter { it.startsWith("| `") }
            .map { row -> row.split('|').map { it.trim().trim('`') }.subList(1, 5) }
        val declared = ErrorKind.entries.map {
            listOf(it.code, it.httpStatus.toString(), it.runState.code, it.retry.code)
        }
        assertEquals(declared, documented)
    }

    @Test
    fun `a retry is advised without condition only where nothing ran or the outcome is kept`() {
        val advised = ErrorKind.entries.filter { it.retry == RetryAdvice.LATER }
        val unsafe = advised.filter { it.runState != RunState.NOT_RUN }
        assertEquals(listOf(ErrorKind.ACTION_IN_PROGRESS), unsafe)
    }

    @Test
    fun `codes are unique`() {
        val codes = ErrorKind.entries.map { it.code }
        assertTrue(codes.size == codes.toSet().size)
    }
}
