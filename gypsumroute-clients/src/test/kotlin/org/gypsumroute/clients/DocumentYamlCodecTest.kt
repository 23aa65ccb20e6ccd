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

/** Guards against documents that are read differently than they were meant, or crash a process. */
class DocumentYamlCodecTest {
    private val examples = Path.of("../examples/documents")
    private val text = examples.resolve("menu-writer.yaml").readText()

    @Test
    fun `all example documents are valid and govern the service they are named after`() {
        val names = listOf("menu-writer", "order-desk", "reader-models", "agent-desk")
        val files = Files.list(examples).use { it.toList() }
        assertEquals(names.toSet(), files.map { it.nameWithoutExtension }.toSet())
        for (name in names) {
            val read = DocumentYamlCodec.decode(examples.resolve("$name.yaml").readBytes())
            val document = read.fold({ error("$name: $it") }, { it.document })
            assertEquals(name, document.service.value)
            assertEquals(10, document.organisations.size)
            assertEquals(document.kind == ServiceKind.GENERATION, document.model != null)
        }
    }

    @Test
    fun `the examples on the page are valid`() {
        val page = Path.of("../docs/service-document.md").readText()
        val blocks = Regex("```yaml\n(.*?)```", RegexOption.DOT_MATCHES_ALL).findAll(page)
            .map { DocumentYamlCodec.decode(it.groupValues[1].toByteArray()) }.toList()
        assertEquals(2, blocks.size)
        for (reading in blocks) assertTrue(reading.isRight(), "$reading")
    }

    @Test
    fun `digest is that of the bytes and defaults are filled in`() {
        val read = DocumentYamlCodec.decode(text.toByteArray()).getOrNull()!!
        assertEquals(sha256(text), read.digest.value)
        assertEquals(0.0, read.document.lengthClasses[2].reservedShare)
        assertEquals(false, read.document.withdrawn)
    }

    @Test
    fun `faults of form and of rule are all reported, each with its line`() {
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
    fun `unreadable field does not set off rules that compare with it`() {
        val faults = faultsOf(text.replace("promptLimit: 1000000", "promptLimit: lots"))
        assertEquals(listOf("promptLimit"), faults.map { it.field })
    }

    @Test
    fun `hostile input is refused`() {
        val deep = "[".repeat(500_000)
        val alias = "a: &a [x]\nb: *a"
        val large = "#".repeat(DocumentYamlCodec.MAX_DOCUMENT_BYTES + 1)
        val keys = "1: ${"? ".repeat(9999)}"
        for (input in listOf(deep, alias, large, keys, "", "- 1", "a: 1\na: 2", "a: \u0000")) {
            assertTrue(DocumentYamlCodec.decode(input.toByteArray()).isLeft(), input.take(20))
        }
        assertTrue(DocumentYamlCodec.decode(byteArrayOf(-1, -2)).isLeft())
    }

    @Property(tries = 500, seed = "42")
    fun `any bytes give a reading`(@ForAll bytes: ByteArray) {
        DocumentYamlCodec.decode(bytes)
    }

    @Property(tries = 500, seed = "42")
    fun `any damage to a document gives a reading`(@ForAll("damage") damage: Pair<Int, String>) {
        val from = damage.first % text.length
        val to = (from + damage.second.length).coerceAtMost(text.length)
        val damaged = text.replaceRange(from, to, damage.second)
        DocumentYamlCodec.decode(damaged.toByteArray()).onLeft { faults ->
            assertTrue(faults.all { it.line >= 0 && it.problem.isNotBlank() }, "$faults")
        }
    }

    @Provide
    fun damage(): Arbitrary<Pair<Int, String>> {
        val texts = Arbitraries.strings().withChars("{}[]:,-&*#?|>'\"%@`!\n\t 0123456789.aeE~")
            .ofMinLength(1).ofMaxLength(12)
        return Arbitraries.integers().between(0, 1_000_000)
            .flatMap { at -> texts.map { at to it } }
    }

    private fun faultsOf(yaml: String): List<DocumentFault> {
        val reading = DocumentYamlCodec.decode(yaml.toByteArray())
        assertIs<Either.Left<List<DocumentFault>>>(reading)
        return reading.value
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }
}
