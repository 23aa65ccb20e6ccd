/*
 * JSON texts of which most is a few long strings, such as values in base64. A parser would copy
 * these character by character.
 */
package org.gypsumroute.wire.json

import java.io.ByteArrayOutputStream

/**
 * A JSON [text] in which substitutes stand for long strings. If it can be parsed, the original can
 * be parsed too, with the same result except for these strings.
 */
class ShortenedJson internal constructor(
    val text: String,
    private val longStrings: Map<String, EncodedText>
) {
    /** The long string that [substitute] stands for, or null if it is a string of the original. */
    fun original(substitute: String): EncodedText? = longStrings[substitute]
}

/**
 * Replaces the strings in [text] that are values of [name], have at least [minSize] characters and
 * are visible ASCII. Returns null if the text has an escape or a string like a substitute: then
 * strings could be mistaken for one another.
 */
fun shortenedOf(text: ByteArray, name: String, minSize: Int): ShortenedJson? =
    StringShortener(text, encodedTextOf("\"$name\""), minSize).shorten()

private class StringShortener(
    private val text: ByteArray,
    private val quotedName: EncodedText,
    private val minSize: Int
) {
    private val scanner = JsonScanner(text)
    private val rest = ByteArrayOutputStream()
    private val longStrings = mutableMapOf<String, EncodedText>()

    /** Position up to which the text is in [rest] or in [longStrings]. */
    private var shortenedEnd = 0

    fun shorten(): ShortenedJson? {
        while (scanner.position < text.size) {
            when (text[scanner.position]) {
                ESCAPE -> return null
                QUOTE -> shortenIfNamed()
                else -> scanner.position++
            }
        }
        rest.write(text, shortenedEnd, text.size - shortenedEnd)
        val shortened = rest.toByteArray().decodeToString()
        val substitutes = shortened.split(SUBSTITUTE_START).size - 1
        return ShortenedJson(shortened, longStrings).takeIf { substitutes == longStrings.size }
    }

    private fun shortenIfNamed() {
        val isNamed = quotedName.occursIn(text, scanner.position)
        scanner.position += if (isNamed) quotedName.size else 1
        if (isNamed) shortenValue()
    }

    private fun shortenValue() {
        if (!scanner.accept(':') || !scanner.isNext('"')) return
        val start = scanner.position + 1
        val end = endOfVisible(start)
        scanner.position = start
        val isWhole = end < text.size && text[end] == QUOTE
        if (!isWhole || end - start < minSize) return
        replace(EncodedText(text, start, end), start, end)
        scanner.position = end + 1
    }

    private fun replace(string: EncodedText, start: Int, end: Int) {
        val substitute = "$SUBSTITUTE_START${longStrings.size}"
        longStrings[substitute] = string
        rest.write(text, shortenedEnd, start - shortenedEnd)
        rest.write(substitute.encodeToByteArray())
        shortenedEnd = end
    }

    /** The end of the characters from [start] on that are visible ASCII and no quote or escape. */
    private fun endOfVisible(start: Int): Int {
        var index = start
        while (index < text.size && isVisible(text[index])) index++
        return index
    }

    private fun isVisible(byte: Byte): Boolean =
        byte in FIRST_VISIBLE..LAST_VISIBLE && byte != QUOTE && byte != ESCAPE

    private companion object {
        const val SUBSTITUTE_START = "#long string "
        const val QUOTE = '"'.code.toByte()
        const val ESCAPE = '\\'.code.toByte()
        const val FIRST_VISIBLE = '!'.code.toByte()
        const val LAST_VISIBLE = '~'.code.toByte()
    }
}
