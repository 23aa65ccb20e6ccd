/*
 * Guards against lost or repeated text if threads of several connections add chunks to one answer
 * buffer while the writer takes portions from it.
 */
package org.gypsumroute.entry

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Tokens
import org.gypsumroute.wire.DataFrame
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Test

@Param(name = "sequence", gen = IntGen::class, conf = "0:3")
class AnswerBufferLincheckTest {
    private val lease = LeaseId("lease")
    private val buffer = AnswerBuffer(RequestId("request")) { }.also { it.switchToLease(lease) }

    @Operation
    fun accept(@Param(name = "sequence") sequence: Int) {
        val bytes = "$sequence".encodeToByteArray()
        buffer.accept(DataFrame.AnswerChunk(lease, sequence, Tokens(1), bytes))
    }

    @Operation
    fun end() = buffer.accept(DataFrame.AnswerEnd(lease, 3, "length", 200, "text/plain"))

    @Operation(nonParallelGroup = "writer")
    fun take(): String? = when (val portion = buffer.tryTake()) {
        is AnswerPortion.Text -> portion.bytes.decodeToString()
        is AnswerPortion.End -> "end after ${portion.tokens}"
        else -> null
    }

    @Test
    fun `adding chunks and taking portions concurrently is linearizable`() = StressOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(3)
        .actorsPerThread(3)
        .check(this::class)
}
