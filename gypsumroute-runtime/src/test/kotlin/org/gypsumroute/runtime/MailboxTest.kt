package org.gypsumroute.runtime

import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions

class MailboxTest {
    private val mailbox = Mailbox<Int>()

    @Operation
    fun offer(element: Int) = mailbox.offer(element)

    @Operation
    fun poll() = mailbox.poll()

    @Operation
    fun close() = mailbox.close()

    @Test
    fun `no interleaving loses or reorders accepted events`() = ModelCheckingOptions()
        .iterations(3)
        .invocationsPerIteration(100)
        .threads(2)
        .actorsPerThread(3)
        .check(this::class)

    @Test
    fun `concurrent operations under load are linearizable`() = StressOptions()
        .iterations(3)
        .invocationsPerIteration(300)
        .threads(3)
        .actorsPerThread(2)
        .check(this::class)

    @Test
    fun `a waiting thread receives a later event and null after the close`() {
        val taken = ArrayList<Int?>()
        val taker = thread { repeat(2) { taken += mailbox.take() } }
        mailbox.offer(1)
        mailbox.close()
        taker.join(5000)
        assertEquals(listOf(1, null), taken)
        assertNull(mailbox.take())
    }
}
