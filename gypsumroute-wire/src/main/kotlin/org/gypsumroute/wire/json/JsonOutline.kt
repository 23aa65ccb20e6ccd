/*
 * Outline of a JSON object: the texts of the elements of some of its lists, and the rest.
 *
 * A reader that keeps what it decoded from each element decodes only new elements when it reads the
 * next version of the object. The outline is no check of the text: the reader has to parse the rest
 * and each new element, and has to parse the whole text if there is no outline or a part fails.
 * If all parts can be parsed, the whole text can be parsed too, with the same result.
 */
package org.gypsumroute.wire.json

import java.io.ByteArrayOutputStream

/** An element of a list; [known] is the position of the same text in the previous outline. */
class OutlineElement(val text: EncodedText, val known: Int?)

/** The elements of [lists] by the name of the list, and the [rest], in which these are empty. */
class JsonOutline internal constructor(
    val rest: String,
    val lists: Map<String, List<OutlineElement>>
)

/**
 * Returns the outline of the JSON object [text] with the lists that are [named], or null if the
 * object is not of a form that can be split: a list with an element that is no object, a list that
 * is there twice, a name with an escape, or more than [maxNesting] levels around or in a new
 * element. Elements that are in the [previous] outline too are not scanned again, so all parts of
 * that outline must have been parsed without failure.
 */
fun outlineOf(
    text: ByteArray,
    named: Set<String>,
    maxNesting: Int,
    previous: JsonOutline? = null
): JsonOutline? = JsonSplitter(text, named, maxNesting, previous).split()

/** A value decoded from an element. One that depends on anything else too is not [reusable]. */
class DecodedElement<out T>(val value: T, val reusable: Boolean)

/**
 * Returns the decoded [elements], which are those of [known] where these are reusable. The others
 * are passed to [decode] in one list, since a parser takes longer for many short texts than for one
 * long text.
 */
fun <T> decodeElements(
    elements: List<OutlineElement>,
    known: List<DecodedElement<T>>,
    decode: (List<EncodedText>) -> List<DecodedElement<T>>
): List<DecodedElement<T>> {
    val reused = elements.map { element ->
        element.known?.let { known[it] }?.takeIf { it.reusable }
    }
    val newTexts = elements.filterIndexed { index, _ -> reused[index] == null }.map { it.text }
    val decoded = decode(newTexts).iterator()
    return reused.map { it ?: decoded.next() }
}

/** The text of a JSON list of [elements], which are objects. */
fun listText(elements: List<EncodedText>): String {
    val list = ByteArrayOutputStream(elements.sumOf { it.size + 1 } + 1)
    list.write('['.code)
    elements.forEachIndexed { index, element ->
        if (index > 0) list.write(','.code)
        element.writeTo(list)
    }
    list.write(']'.code)
    return list.toString(Charsets.UTF_8)
}
