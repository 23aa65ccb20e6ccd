package org.gypsumroute.entry

import org.gypsumroute.api.Failure
import org.gypsumroute.api.Tokens
import org.gypsumroute.wire.DataFrame

/** What an answer buffer hands to the caller's writer. */
internal sealed interface AnswerPortion {
    /** The next bytes, in order. */
    class Text(val bytes: ByteArray) : AnswerPortion

    /** All bytes were handed out. [tokens] counts the tokens of all leases together. */
    class End(val mark: DataFrame.AnswerEnd, val tokens: Tokens) : AnswerPortion

    /** The request failed; no further bytes follow. */
    class Failed(val failure: Failure) : AnswerPortion
}
