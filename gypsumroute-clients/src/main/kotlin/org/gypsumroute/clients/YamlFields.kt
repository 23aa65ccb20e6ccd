/*
 * Reads fields out of a YAML tree and notes every fault on the way.
 *
 * Decoding into classes would stop at the first fault, and would not know the line of a rule's
 * fault. A faulty field yields a placeholder, so that reading goes on.
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

/** Faults found and the line of each field seen. */
internal class ReadingNotes {
    val faults = mutableListOf<DocumentFault>()
    private val lines = mutableMapOf<String, Int>()

    fun fault(line: Int, field: String, problem: String) {
        faults += DocumentFault(line, field, problem)
    }

    fun sawField(field: String, line: Int) {
        lines[field] = line
    }

    /** Line of a field, or of the nearest enclosing one that the document contains. */
    fun lineOf(field: String): Int =
        generateSequence(field) { enclosing(it) }.firstNotNullOfOrNull { lines[it] } ?: 1

    private fun enclosing(field: String): String? =
        field.lastIndexOfAny(charArrayOf('.', '[')).takeIf { it > 0 }?.let { field.take(it) }
}

/** The fields of one YAML mapping; an absent mapping reads as one without fields. */
internal class YamlFields(
    private val map: YamlMap?,
    private val path: String,
    private val line: Int,
    private val notes: ReadingNotes
) {
    private val known = mutableSetOf<String>()

    /** A text; null as [default] makes it required. */
    fun text(name: String, default: String? = null): String =
        value(name, "a text", default, PLACEHOLDER) { it }

    fun optionalText(name: String): String? = if (node(name) == null) null else text(name)

    fun long(name: String, default: Long? = null): Long =
        value(name, "a whole number", default, 1) { it.toLongOrNull() }

    fun int(name: String, default: Int? = null): Int =
        value(name, "a whole number", default, 1) { it.toIntOrNull() }

    fun number(name: String, default: Double? = null): Double =
        value(name, "a number such as 0.25", default, 0.0) { text ->
            text.toDoubleOrNull().takeIf { NUMBER.matches(text) }
        }

    fun duration(name: String, default: Duration? = null): Duration =
        value(name, "a duration such as 980ms, 30s or 5m", default, 1.milliseconds) {
            parseDuration(it)
        }

    fun optionalDuration(name: String): Duration? = if (node(name) == null) null else duration(name)

    /** One of the keys of [choices]. */
    fun <T> choice(name: String, choices: Map<String, T>, default: T? = null): T = value(
        name,
        "one of ${choices.keys.joinToString()}",
        default,
        choices.values.first()
    ) { choices[it] }

    /** A nested mapping; an absent one reads as empty unless it is [required]. */
    fun section(name: String, required: Boolean = false): YamlFields {
        val node = node(name)
        if (node == null && required) notes.fault(line, pathOf(name), "is missing")
        return fieldsOf(node, pathOf(name))
    }

    /** A nested mapping, or null if the document has none. */
    fun optionalSection(name: String): YamlFields? = node(name)?.let { fieldsOf(it, pathOf(name)) }

    /** The mappings of a list. */
    fun <T> sections(name: String, read: YamlFields.() -> T): List<T> =
        items(name, required = true).map { (path, item) ->
            val fields = fieldsOf(item, path)
            fields.read().also { fields.rejectUnknown() }
        }

    /** The texts of a list; an absent list reads as empty unless it is [required]. */
    fun texts(name: String, required: Boolean = false): List<String> =
        items(name, required).map { (path, item) ->
            if (item is YamlScalar) {
                item.content
            } else {
                notes.fault(item.location.line, path, "must be a text")
                PLACEHOLDER
            }
        }

    /** Notes a fault for each field that was not asked for. */
    fun rejectUnknown() {
        map?.entries?.keys?.filter { it.content !in known }?.forEach {
            notes.fault(it.location.line, pathOf(it.content), "is not a known field")
        }
    }

    private fun items(name: String, required: Boolean): List<Pair<String, YamlNode>> {
        val node = node(name)
        val field = pathOf(name)
        if (node is YamlList) {
            return node.items.mapIndexed { index, item ->
                notes.sawField("$field[$index]", item.location.line)
                "$field[$index]" to item
            }
        }
        when {
            node != null -> notes.fault(node.location.line, field, "must be a list")
            required -> notes.fault(line, field, "is missing")
        }
        return emptyList()
    }

    private fun fieldsOf(node: YamlNode?, path: String): YamlFields {
        if (node != null && node !is YamlMap) {
            notes.fault(node.location.line, path, "must be a mapping of fields")
        }
        return YamlFields(node as? YamlMap, path, node?.location?.line ?: line, notes)
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
            if (default == null) notes.fault(line, pathOf(name), "is missing; must be $expected")
            return default ?: placeholder
        }
        val parsed = (node as? YamlScalar)?.let { parse(it.content) }
        if (parsed == null) notes.fault(node.location.line, pathOf(name), "must be $expected")
        return parsed ?: placeholder
    }

    private fun node(name: String): YamlNode? {
        known += name
        val key = map?.entries?.keys?.firstOrNull { it.content == name } ?: return null
        notes.sawField(pathOf(name), key.location.line)
        return map.entries[key]?.takeIf { it !is YamlNull }
    }

    private fun pathOf(name: String): String = if (path.isEmpty()) name else "$path.$name"

    private companion object {
        const val PLACEHOLDER = "unknown"
        val NUMBER = Regex("\\d{1,9}(\\.\\d{1,9})?")
    }
}

private fun parseDuration(text: String): Duration? {
    val (count, unit) = DURATION.matchEntire(text)?.destructured ?: return null
    return (count.toLong() * MILLISECONDS.getValue(unit)).milliseconds
}

private val DURATION = Regex("(\\d{1,9})(ms|s|m|h)")
private val MILLISECONDS = mapOf("ms" to 1L, "s" to 1000L, "m" to 60_000L, "h" to 3_600_000L)
