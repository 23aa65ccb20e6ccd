package org.gypsumroute.wire.json

import java.io.ByteArrayOutputStream

/** Splits one [text] for [outlineOf]. */
internal class JsonSplitter(
    private val text: ByteArray,
    private val named: Set<String>,
    private val maxNesting: Int,
    private val previous: JsonOutline?
) {
    private val scanner = JsonScanner(text)
    private val lists = mutableMapOf<String, List<OutlineElement>>()
    private val namesRead = mutableSetOf<String>()
    private val rest = ByteArrayOutputStream()

    /** Position up to which the text is in [rest] or in [lists]. */
    private var splitEnd = 0

    fun split(): JsonOutline? {
        if (!scanner.accept('{') || !readMembers()) return null
        rest.write(text, splitEnd, text.size - splitEnd)
        return JsonOutline(rest.toByteArray().decodeToString(), lists)
    }

    private fun readMembers(): Boolean {
        do {
            if (!readMember()) return false
        } while (scanner.accept(','))
        return scanner.accept('}')
    }

    private fun readMember(): Boolean {
        val name = scanner.readName() ?: return false
        val isNew = name !in named || namesRead.add(name)
        if (!isNew || !scanner.accept(':')) return false
        val isList = name in named && scanner.accept('[')
        return if (isList) readList(name) else scanner.skipValue()
    }

    private fun readList(name: String): Boolean {
        rest.write(text, splitEnd, scanner.position - splitEnd)
        val elements = if (scanner.isNext(']')) emptyList() else readElements(name)
        splitEnd = scanner.position
        lists[name] = elements ?: return false
        return scanner.accept(']')
    }

    private fun readElements(name: String): List<OutlineElement>? {
        val known = KnownTexts(previous?.lists?.get(name).orEmpty().map { it.text })
        val elements = mutableListOf<OutlineElement>()
        do {
            elements += readElement(known) ?: return null
        } while (scanner.accept(','))
        return elements
    }

    private fun readElement(known: KnownTexts): OutlineElement? {
        if (!scanner.isNext('{')) return null
        val start = scanner.position
        known.expectedAt(text, start)?.let {
            scanner.position = start + it.text.size
            return it
        }
        if (!scanner.skipBrackets(maxNesting - LEVELS_AROUND_ELEMENT)) return null
        val scanned = EncodedText(text, start, scanner.position)
        return OutlineElement(scanned, known.positionOf(scanned))
    }

    private companion object {
        /** The object and its list. */
        const val LEVELS_AROUND_ELEMENT = 2
    }
}

/** The texts of a list in the previous outline; most lists repeat them in the same order. */
private class KnownTexts(private val texts: List<EncodedText>) {
    private val positions by lazy(LazyThreadSafetyMode.NONE) {
        texts.withIndex().associate { (position, text) -> text to position }
    }

    /** Position of the text that follows if the list is as it was. */
    private var expected = 0

    /** The expected text, if [bytes] has it at [start]. */
    fun expectedAt(bytes: ByteArray, start: Int): OutlineElement? {
        val text = texts.getOrNull(expected)?.takeIf { it.occursIn(bytes, start) } ?: return null
        return OutlineElement(text.movedTo(bytes, start), expected++)
    }

    /** The position of a text that was not expected; an unknown one replaces the expected one. */
    fun positionOf(text: EncodedText): Int? {
        val position = if (texts.isEmpty()) null else positions[text]
        expected = (position ?: expected) + 1
        return position
    }
}
