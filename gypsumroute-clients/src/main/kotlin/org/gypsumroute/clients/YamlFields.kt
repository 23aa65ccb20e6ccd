/*
 * Reads fields from a YAML tree and collects all faults.
 *
 * Decoding into serializable classes would stop at the first fault and would not give the line of a
 * field that breaks a document rule. A faulty field yields a placeholder value, so that the rest of
 * the document is still read.
 */
package org.gypsumroute.clients

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.DocumentFault

/** The faults found in a document, and the line of each field in it. */
internal class DecodeDiagnostics {
    val faults = mutableListOf<DocumentFault>()
    private val lines = mutableMapOf<String, Int>()

    fun addFault(line: Int, field: String, problem: String) {
        faults += DocumentFault(line, field, problem)
    }

    fun recordLine(field: String, line: Int) {
        lines[field] = line
    }

    /** Line of a field, or of the nearest enclosing field that the document contains. */
    fun lineOf(field: String): Int =
        generateSequence(field) { enclosing(it) }.firstNotNullOfOrNull { lines[it] } ?: 1

    private fun enclosing(field: String): String? =
        field.lastIndexOfAny(charArrayOf('.', '[')).takeIf { it > 0 }?.let { field.take(it) }
}

/**
 * The fields of one YAML mapping, which is at [path] and [line] of the document. A null [map] reads
 * as a mapping without fields.
 */
internal class YamlFields(
    private val map: YamlMap?,
    private val path: String,
    private val line: Int,
    private val diagnostics: DecodeDiagnostics
) {
    private val requestedNames = mutableSetOf<String>()

    /** Reads a text; without a [default] the field is required. */
    fun text(name: String, default: String? = null): String =
        value(name, "a text", default, PLACEHOLDER) { it }

    fun optionalText(name: String): String? = if (node(name) == null) null else text(name)

    fun long(name: String, default: Long? = null): Long =
        value(name, "a whole number", default, 1) { it.toLongOrNull() }

    fun int(name: String, default: Int? = null): Int =
        value(name, "a whole number", default, 1) { it.toIntOrNull() }

    fun number(name: String, default: Double? = null): Double =
        value(name, "a number such as 0.25", default, 0.0) { text ->
            text.toDoubleOrNull().takeIf { DECIMAL_NUMBER.matches(text) }
        }

    fun duration(name: String, default: Duration? = null): Duration =
        value(name, "a duration such as 980ms, 30s or 5m", default, 1.milliseconds) {
            parseDuration(it)
        }

    fun optionalDuration(name: String): Duration? = if (node(name) == null) null else duration(name)

    /** Reads one of the keys of [choices] and returns its value. */
    fun <T> choice(name: String, choices: Map<String, T>, default: T? = null): T = value(
        name,
        "one of ${choices.keys.joinToString()}",
        default,
        choices.values.first()
    ) { choices[it] }

    /** A nested mapping; an absent one reads as empty and is a fault if it is [required]. */
    fun section(name: String, required: Boolean = false): YamlFields {
        val node = node(name)
        if (node == null && required) diagnostics.addFault(line, pathOf(name), "is missing")
        return fieldsOf(node, pathOf(name))
    }

    /** A nested mapping, or null if the document has none. */
    fun optionalSection(name: String): YamlFields? = node(name)?.let { fieldsOf(it, pathOf(name)) }

    /** Reads each mapping of a required list and reports its unknown fields. */
    fun <T> sections(name: String, read: YamlFields.() -> T): List<T> =
        items(name, required = true).map { (path, item) ->
            val fields = fieldsOf(item, path)
            fields.read().also { fields.reportUnknownFields() }
        }

    /** The texts of a list; an absent one reads as empty and is a fault if it is [required]. */
    fun texts(name: String, required: Boolean = false): List<String> =
        items(name, required).map { (path, item) ->
            if (item is YamlScalar) {
                item.content
            } else {
                diagnostics.addFault(item.location.line, path, "must be a text")
                PLACEHOLDER
            }
        }

    /** Adds a fault for each field of the mapping that was not read before this call. */
    fun reportUnknownFields() {
        map?.entries?.keys?.filter { it.content !in requestedNames }?.forEach {
            diagnostics.addFault(it.location.line, pathOf(it.content), "is not a known field")
        }
    }

    private fun items(name: String, required: Boolean): List<YamlItem> {
        val node = node(name)
        val field = pathOf(name)
        if (node is YamlList) {
            return node.items.mapIndexed { index, item ->
                diagnostics.recordLine("$field[$index]", item.location.line)
                YamlItem("$field[$index]", item)
            }
        }
        when {
            node != null -> diagnostics.addFault(node.location.line, field, "must be a list")
            required -> diagnostics.addFault(line, field, "is missing")
        }
        return emptyList()
    }

    private fun fieldsOf(node: YamlNode?, path: String): YamlFields {
        if (node != null && node !is YamlMap) {
            diagnostics.addFault(node.location.line, path, "must be a mapping of fields")
        }
        return YamlFields(node as? YamlMap, path, node?.location?.line ?: line, diagnostics)
    }

    private fun <T> value(
        name: String,
        expected: String,
        default: T?,
        placeholder: T,
        parse: (String) -> T?
    ): T {
        val node = node(name)
        if (node == null) {
            if (default == null) {
                diagnostics.addFault(line, pathOf(name), "is missing; must be $expected")
            }
            return default ?: placeholder
        }
        val parsed = (node as? YamlScalar)?.let { parse(it.content) }
        if (parsed == null) {
            diagnostics.addFault(node.location.line, pathOf(name), "must be $expected")
        }
        return parsed ?: placeholder
    }

    private fun node(name: String): YamlNode? {
        requestedNames += name
        val key = map?.entries?.keys?.firstOrNull { it.content == name } ?: return null
        diagnostics.recordLine(pathOf(name), key.location.line)
        return map.entries[key]?.takeIf { it !is YamlNull }
    }

    private fun pathOf(name: String): String = if (path.isEmpty()) name else "$path.$name"

    private companion object {
        const val PLACEHOLDER = "unknown"
        val DECIMAL_NUMBER = Regex("\\d{1,9}(\\.\\d{1,9})?")
    }
}

private fun parseDuration(text: String): Duration? {
    val (count, unit) = DURATION.matchEntire(text)?.destructured ?: return null
    return (count.toLong() * MILLISECONDS_PER_UNIT.getValue(unit)).milliseconds
}

private val DURATION = Regex("(\\d{1,9})(ms|s|m|h)")
private val MILLISECONDS_PER_UNIT =
    mapOf("ms" to 1L, "s" to 1000L, "m" to 60_000L, "h" to 3_600_000L)

/** An item of a list, with its path in the document for diagnostics. */
private data class YamlItem(val path: String, val node: YamlNode)
