/*
 * Guards against documents that pass the check although the fleet rejects them, against faults that
 * cannot be located in the file, and against differences that omit a changed field.
 */
package org.gypsumroute.cli.check

import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import org.gypsumroute.cli.NodePage
import org.gypsumroute.cli.NodePageReader
import org.gypsumroute.clients.DocumentYamlCodec
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir

class CheckCommandTest {
    @TempDir
    lateinit var folder: Path

    private val text = Path.of("../examples/documents/menu-writer.yaml").readText()

    @Test
    fun `valid documents end with exit code 0 and one invalid document with 1`() {
        val good = file("good.yaml", text)
        assertEquals(0, check(listOf(good)).statusCode)
        val bad = file("bad.yaml", text.replace("outputLimit: 4096", "outputLimit: 0"))
        assertEquals(1, check(listOf(bad, good)).statusCode)
    }

    @Test
    fun `each fault is shown with file, line, field and problem`() {
        val broken = text.replace("outputLimit: 4096", "outputLimit: 0")
            .replace("weight: 8", "weight: none")
        val path = file("bad.yaml", broken)
        val output = check(listOf(path)).stdout
        val line = broken.lines().indexOfFirst { it.startsWith("outputLimit") } + 1
        assertContains(output, "$path:$line: outputLimit: ")
    }

    @Test
    fun `the difference names every changed, added and removed field with its values`() {
        val proposed = text.replace("version: 1\n", "version: 2\n")
            .replace("outputLimit: 4096", "outputLimit: 2048")
            .replace("dataCentresOut: []", "dataCentresOut: [patan]")
        val output = differenceOutput(proposed, text)
        assertContains(output, "~ version: 1 -> 2")
        assertContains(output, "~ outputLimit: 4096 -> 2048")
        assertContains(output, "~ dataCentresOut: (empty) -> patan")
        assertFalse("promptLimit" in output)
    }

    @Test
    fun `a changed document without a higher version causes a warning`() {
        val output = differenceOutput(text.replace("outputLimit: 4096", "outputLimit: 2048"), text)
        assertContains(output, "! version 1 would not replace version 1")
    }

    @Test
    fun `same bytes, changed comments and a new service give different output`() {
        assertContains(differenceOutput(text, text), "same bytes")
        assertContains(differenceOutput("$text\n# note\n", text), "only comments or layout differ")
        val missing = check(listOf(file("a.yaml", text)), URL) { _, _ ->
            NodePage(404, ByteArray(0)).right()
        }
        assertContains(missing.stdout, "has no document in force yet")
        assertEquals(0, missing.statusCode)
    }

    @Test
    fun `an unreachable entry ends with exit code 3`() {
        val result = check(listOf(file("a.yaml", text)), URL) { _, _ -> "refused".left() }
        assertEquals(3, result.statusCode)
        assertContains(result.stderr, "refused")
    }

    @Test
    fun `every field on the documentation page is part of the difference`() {
        val page = Path.of("../docs/service-document.md").readText()
        val fields = Regex("`([a-zA-Z.\\[\\]]+)`")
        val listed = page.lines().filter { it.startsWith("| `") }
            .flatMap { row -> fields.findAll(row.split(" | ")[0]).map { it.groupValues[1] } }
            .filterNot { it == "lengthClasses" || it == "organisations" }
        val compared = listOf("menu-writer", "order-desk", "reader-models", "agent-desk")
            .map { Path.of("../examples/documents/$it.yaml").readText() }
            .map { withOptionalFields(it) }
            .flatMap { documentFields(read(it).document).keys }
            .map { it.replace(Regex("\\[.*]"), "[]") }
        assertEquals(listed.toSortedSet(), compared.toSortedSet())
    }

    /** Adds the adapter, the only optional field that no example has. */
    private fun withOptionalFields(yaml: String): String =
        yaml.replace("model:\n", "model:\n  adapter: plain\n")

    private fun read(yaml: String) =
        DocumentYamlCodec.decode(yaml.toByteArray()).fold({ error("$it") }, { it })

    private fun differenceOutput(proposed: String, inForce: String): String {
        val result = check(listOf(file("proposed.yaml", proposed)), URL) { node, path ->
            assertEquals("$URL/documents/menu-writer", node + path)
            NodePage(200, inForce.toByteArray()).right()
        }
        assertEquals(0, result.statusCode, result.output)
        return result.stdout
    }

    private fun check(
        files: List<Path>,
        url: String? = null,
        readPage: NodePageReader = { _, _ -> error("no entry is asked") }
    ): CliktCommandTestResult {
        val options = if (url == null) emptyList() else listOf("--against", url)
        return CheckCommand(readPage).test(options + files.map { "$it" })
    }

    private fun file(name: String, content: String): Path =
        folder.resolve(name).also { it.writeText(content) }

    private companion object {
        const val URL = "http://127.0.0.1:8081"
    }
}
