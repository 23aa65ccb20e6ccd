package org.gypsumroute.clients

import arrow.core.Either
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readBytes
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.gypsumroute.api.DocumentFault
import org.gypsumroute.api.ServiceKind

/**
 * Guards against documents that are decoded with a meaning that their author did not intend,
 * against faults that are not reported or have a wrong line, and against input that crashes the
 * process.
 */
class DocumentYamlCodecTest {
    private val examples = Path.of("../examples/documents")
    private val text = examples.resolve("menu-writer.yaml").readText()

    @Test
    fun `all example documents are valid and name the service of their file name`() {
        val names = listOf("menu-writer", "order-desk", "reader-models", "agent-desk")
        val files = Files.list(examples).use { it.toList() }
        assertEquals(names.toSet(), files.map { it.nameWithoutExtension }.toSet())
        for (name in names) {
            val decoded = DocumentYamlCodec.decode(examples.resolve("$name.yaml").readBytes())
            val document = decoded.fold({ error("$name: $it") }, { it.document })
            assertEquals(name, document.service.value)
            assertEquals(10, document.organisations.size)
            assertEquals(document.kind == ServiceKind.GENERATION, document.model != null)
        }
    }

    @Test
    fun `the examples in the documentation are valid`() {
        val page = Path.of("../docs/service-document.md").readText()
        val blocks = Regex("```yaml\n(.*?)```", RegexOption.DOT_MATCHES_ALL).findAll(page)
            .map { DocumentYamlCodec.decode(it.groupValues[1].toByteArray()) }.toList()
        assertEquals(2, blocks.size)
        for (decoded in blocks) assertTrue(decoded.isRight(), "$decoded")
    }

    @Test
    fun `digest covers the bytes and absent fields get their defaults`() {
        val decoded = DocumentYamlCodec.decode(text.toByteArray()).getOrNull()!!
        assertEquals(sha256(text), decoded.digest.value)
        assertEquals(0.0, decoded.document.lengthClasses[2].reservedShare)
        assertEquals(false, decoded.document.withdrawn)
    }

    @Test
    fun `unreadable fields and rule violations are all reported with their lines`() {
        val broken = text
            .replace("version: 1\n", "version: one\n")
            .replace("upTo: 100000\n", "upTo: 7000\n")
            .replace("grantWait: 2s", "grantWait: 2 seconds\n  colour: red")
            .replace("outputLimit: 4096\n", "")
        val faults = faultsOf(broken)
        assertEquals(
            setOf(
                "version",
                "lengthClasses[1].upTo",
                "group.grantWait",
                "group.colour",
                "outputLimit"
            ),
            faults.map { it.field }.toSet()
        )
        val lines = broken.lines()
        val expected = mapOf(
            "version" to "version:",
            "lengthClasses[1].upTo" to "upTo: 7000",
            "group.colour" to "colour"
        )
        for ((field, content) in expected) {
            val line = faults.single { it.field == field }.line
            assertTrue(content in lines[line - 1], "$field at line $line: ${lines[line - 1]}")
        }
    }

    @Test
    fun `unreadable field does not cause faults of rules that use it`() {
        val faults = faultsOf(text.replace("promptLimit: 1000000", "promptLimit: lots"))
        assertEquals(listOf("promptLimit"), faults.map { it.field })
    }

    @Test
    fun `malicious and malformed input is rejected`() {
        val deeplyNested = "[".repeat(500_000)
        val alias = "a: &a [x]\nb: *a"
        val tooLarge = "#".repeat(DocumentYamlCodec.MAX_DOCUMENT_BYTES + 1)
        val nestedKeys = "1: ${"? ".repeat(9999)}"
        val malicious = listOf(deeplyNested, alias, tooLarge, nestedKeys)
        for (input in malicious + listOf("", "- 1", "a: 1\na: 2", "a: \u0000")) {
            assertTrue(DocumentYamlCodec.decode(input.toByteArray()).isLeft(), input.take(20))
        }
        assertTrue(DocumentYamlCodec.decode(byteArrayOf(-1, -2)).isLeft())
    }

    @Property(tries = 500, seed = "42")
    fun `any bytes are decoded without an exception`(@ForAll bytes: ByteArray) {
        DocumentYamlCodec.decode(bytes)
    }

    @Property(tries = 500, seed = "42")
    fun `a document with any text replaced is decoded without an exception`(
        @ForAll("replacements") replacement: Pair<Int, String>
    ) {
        val from = replacement.first % text.length
        val to = (from + replacement.second.length).coerceAtMost(text.length)
        val damaged = text.replaceRange(from, to, replacement.second)
        DocumentYamlCodec.decode(damaged.toByteArray()).onLeft { faults ->
            assertTrue(faults.all { it.line >= 0 && it.problem.isNotBlank() }, "$faults")
        }
    }

    @Provide
    fun replacements(): Arbitrary<Pair<Int, String>> {
        val texts = Arbitraries.strings().withChars("{}[]:,-&*#?|>'\"%@`!\n\t 0123456789.aeE~")
            .ofMinLength(1).ofMaxLength(12)
        return Arbitraries.integers().between(0, 1_000_000)
            .flatMap { at -> texts.map { at to it } }
    }

    private fun faultsOf(yaml: String): List<DocumentFault> {
        val decoded = DocumentYamlCodec.decode(yaml.toByteArray())
        assertIs<Either.Left<List<DocumentFault>>>(decoded)
        return decoded.value
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }
}
