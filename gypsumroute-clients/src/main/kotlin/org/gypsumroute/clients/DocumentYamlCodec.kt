/*
 * Decodes service documents in YAML. The result depends only on the bytes, so all processes accept
 * the same documents.
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
import org.gypsumroute.core.documents.documentRuleFaults

/** Decodes service documents; no input makes it throw. */
object DocumentYamlCodec {
    /** Size limit of a document. */
    const val MAX_DOCUMENT_BYTES: Int = 1024 * 1024

    /** Returns the document in [bytes], or all its faults in the order of their lines. */
    fun decode(bytes: ByteArray): DocumentDecodeResult {
        if (bytes.size > MAX_DOCUMENT_BYTES) {
            return documentFault("document is ${bytes.size} bytes, more than $MAX_DOCUMENT_BYTES")
        }
        val text = decodeText(bytes) ?: return documentFault("document is not valid UTF-8")
        return when (val tree = parse(text)) {
            is Either.Left -> nonEmptyListOf(tree.value).left()
            is Either.Right -> decodeTree(tree.value, bytes)
        }
    }

    private fun decodeTree(tree: YamlNode, bytes: ByteArray): DocumentDecodeResult {
        if (tree !is YamlMap) return documentFault("document must be a mapping of fields")
        val diagnostics = DecodeDiagnostics()
        val document = readDocument(YamlFields(tree, path = "", line = 1, diagnostics))
        val faults = diagnostics.faults + ruleFaults(document, diagnostics)
        return faults.sortedBy { it.line }.toNonEmptyListOrNull()?.left()
            ?: EncodedDocument(document, digestOf(bytes), DocumentContent(bytes)).right()
    }

    /**
     * Faults of the rules whose fields could all be read. A rule that uses an unreadable field is
     * skipped, because the fault of that field is already reported.
     */
    private fun ruleFaults(
        document: ServiceDocument,
        diagnostics: DecodeDiagnostics
    ): List<DocumentFault> {
        val unreadable = diagnostics.faults.map { it.field }
        return documentRuleFaults(document)
            .filter { rule ->
                (rule.relatedFields + rule.field).none { used ->
                    unreadable.any { overlap(it, used) }
                }
            }
            .map { DocumentFault(diagnostics.lineOf(it.field), it.field, it.problem) }
    }

    private fun overlap(first: String, second: String): Boolean =
        first == second || encloses(first, second) || encloses(second, first)

    private fun encloses(outer: String, inner: String): Boolean =
        inner.startsWith("$outer.") || inner.startsWith("$outer[")

    private fun parse(text: String): Either<DocumentFault, YamlNode> = try {
        Yaml.default.parseToYamlNode(text).right()
    } catch (failure: YamlException) {
        DocumentFault(
            failure.line,
            fieldPath(failure),
            // The parser's message is blank for some inputs, such as a nested `{{`.
            failure.message.ifBlank { "is not valid YAML" }
        ).left()
    } catch (_: StackOverflowError) {
        // The parser recurses for each level of nesting, and a document within the size limit can
        // have half a million levels.
        DocumentFault(0, "", "is nested too deeply").left()
    } catch (failure: RuntimeException) {
        DocumentFault(0, "", "is not YAML: ${failure.message}").left()
    }

    private fun fieldPath(failure: YamlException): String =
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

    private fun documentFault(problem: String): DocumentDecodeResult =
        nonEmptyListOf(DocumentFault(0, "", problem)).left()
}
