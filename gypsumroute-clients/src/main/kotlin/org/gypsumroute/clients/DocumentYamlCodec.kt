/*
 * Service documents in YAML. Acceptance is a pure function of the bytes.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlPathSegment
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.security.MessageDigest
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentDecodeResult
import org.gypsumroute.api.DocumentDigest
import org.gypsumroute.api.DocumentFault
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.core.documentRuleFaults

/** Reads service documents; never throws, whatever the bytes are. */
object DocumentYamlCodec {
    /** Largest document in bytes. */
    const val LARGEST_DOCUMENT: Int = 1024 * 1024

    /** The document in [bytes], or all its faults in order of their lines. */
    fun read(bytes: ByteArray): DocumentDecodeResult {
        if (bytes.size > LARGEST_DOCUMENT) {
            return faulty("document is ${bytes.size} bytes, more than $LARGEST_DOCUMENT")
        }
        val text = decodeText(bytes) ?: return faulty("document is not valid UTF-8")
        return when (val tree = parse(text)) {
            is Either.Left -> nonEmptyListOf(tree.value).left()
            is Either.Right -> readTree(tree.value, bytes)
        }
    }

    private fun readTree(tree: YamlNode, bytes: ByteArray): DocumentDecodeResult {
        if (tree !is YamlMap) return faulty("document must be a mapping of fields")
        val notes = ReadingNotes()
        val document = readDocument(YamlFields(tree, path = "", line = 1, notes))
        val faults = notes.faults + ruleFaults(document, notes)
        return faults.sortedBy { it.line }.toNonEmptyListOrNull()?.left()
            ?: EncodedDocument(document, digestOf(bytes), DocumentContent(bytes)).right()
    }

    /** Rules that no unreadable field takes part in; for the others the fault is known already. */
    private fun ruleFaults(document: ServiceDocument, notes: ReadingNotes): List<DocumentFault> {
        val unreadable = notes.faults.map { it.field }
        return documentRuleFaults(document)
            .filter { rule ->
                (rule.relatedFields + rule.field).none { used ->
                    unreadable.any { overlap(it, used) }
                }
            }
            .map { DocumentFault(notes.lineOf(it.field), it.field, it.problem) }
    }

    private fun overlap(one: String, other: String): Boolean =
        one == other || encloses(one, other) || encloses(other, one)

    private fun encloses(outer: String, inner: String): Boolean =
        inner.startsWith("$outer.") || inner.startsWith("$outer[")

    private fun parse(text: String): Either<DocumentFault, YamlNode> = try {
        Yaml.default.parseToYamlNode(text).right()
    } catch (failure: YamlException) {
        DocumentFault(
            failure.line,
            pathText(failure),
            // The parser gives no message for some inputs, such as a nested `{{`.
            failure.message.ifBlank { "is not valid YAML" }
        ).left()
    } catch (_: StackOverflowError) {
        // The parser recurses for each level; a hostile document can nest half a million.
        DocumentFault(0, "", "is nested too deeply").left()
    } catch (failure: RuntimeException) {
        DocumentFault(0, "", "is not YAML: ${failure.message}").left()
    }

    private fun pathText(failure: YamlException): String =
        failure.path.segments.filterIsInstance<YamlPathSegment.MapElementKey>()
            .joinToString(".") { it.key }

    private fun decodeText(bytes: ByteArray): String? = try {
        Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString()
    } catch (_: CharacterCodingException) {
        null
    }

    private fun digestOf(bytes: ByteArray) = DocumentDigest(
        MessageDigest.getInstance("SHA-256").digest(bytes)
            .joinToString("") { "%02x".format(it) }
    )

    private fun faulty(problem: String): DocumentDecodeResult =
        nonEmptyListOf(DocumentFault(0, "", problem)).left()
}
