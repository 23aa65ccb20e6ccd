package org.gypsumroute.wire.json

/**
 * Finds the ends of values in the JSON [text], in UTF-8. It takes any text for valid between
 * brackets and quotes.
 */
internal class JsonScanner(private val text: ByteArray) {
    var position = 0

    /** Skips space, and whether [expected] is next. */
    fun isNext(expected: Char): Boolean {
        while (position < text.size && isSpace(text[position])) position++
        return position < text.size && text[position] == expected.code.toByte()
    }

    /** Skips space and [expected] if it is next. */
    fun accept(expected: Char): Boolean {
        val isNext = isNext(expected)
        if (isNext) position++
        return isNext
    }

    /** Reads a string without escapes; null if the next value is none. */
    fun readName(): String? {
        if (!isNext('"')) return null
        val start = position + 1
        if (!skipString()) return null
        return text.decodeToString(start, position - 1).takeUnless { '\\' in it }
    }

    /** Skips a value of any kind, and whether it has an end. */
    fun skipValue(): Boolean = when {
        isNext('"') -> skipString()
        isNext('{') || isNext('[') -> skipBrackets(Int.MAX_VALUE)
        else -> skipWord()
    }

    /** Skips an object or a list of at most [maxNesting] levels. */
    fun skipBrackets(maxNesting: Int): Boolean {
        var depth = 0
        var index = position
        while (index < text.size) {
            when (text[index++]) {
                QUOTE -> index = endOfString(index)
                OPEN_OBJECT, OPEN_LIST -> if (++depth > maxNesting) return false
                CLOSE_OBJECT, CLOSE_LIST -> if (--depth == 0) return endAt(index)
            }
        }
        return false
    }

    private fun skipString(): Boolean = endAt(endOfString(position + 1))

    /** The position after the string with content from [start] on; past the text if it is open. */
    private fun endOfString(start: Int): Int {
        var index = start
        while (index < text.size) {
            when (text[index++]) {
                QUOTE -> return index
                ESCAPE -> index++
            }
        }
        return text.size + 1
    }

    /** Moves to [end] if it is within the text. */
    private fun endAt(end: Int): Boolean {
        if (end > text.size) return false
        position = end
        return true
    }

    private fun skipWord(): Boolean {
        val start = position
        while (position < text.size && isWordByte(text[position])) position++
        return position > start
    }

    private fun isWordByte(byte: Byte) = !isSpace(byte) && byte.toInt().toChar() !in DELIMITERS

    private fun isSpace(byte: Byte) =
        byte == SPACE || byte == LINE_FEED || byte == CARRIAGE_RETURN || byte == TAB

    private companion object {
        const val QUOTE = '"'.code.toByte()
        const val ESCAPE = '\\'.code.toByte()
        const val OPEN_OBJECT = '{'.code.toByte()
        const val CLOSE_OBJECT = '}'.code.toByte()
        const val OPEN_LIST = '['.code.toByte()
        const val CLOSE_LIST = ']'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val DELIMITERS = "{}[],:\""
    }
}
