package org.gypsumroute.entry

import org.gypsumroute.api.Failure
import org.gypsumroute.api.Tokens
import org.gypsumroute.wire.DataFrame

/** What the writer to the caller takes from an [AnswerBuffer]. */
internal sealed interface AnswerPortion {
    /** The next bytes, in order. */
    class Text(val bytes: ByteArray) : AnswerPortion

    /** The end, after all bytes were taken. [tokens] counts the tokens of all leases together. */
    class End(val frame: DataFrame.AnswerEnd, val tokens: Tokens) : AnswerPortion

    /** The request failed; no further bytes follow. */
    class Failed(val failure: Failure) : AnswerPortion
}
