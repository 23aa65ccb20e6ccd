package org.gypsumroute.core.documents

import arrow.core.right
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PlatformEvent.DocumentRead
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.step
import org.gypsumroute.core.testCommon
import org.gypsumroute.core.testDocument
import org.junit.jupiter.api.Test

/** Guards against older documents replacing newer ones, and processes that disagree on them. */
class DocumentsReducerTest {
    private val service = ServiceId("menu-writer")

    @Test
    fun `an older document does not replace the accepted one`() {
        val accepted = reduceDocumentRead(testCommon(), read(version = 7)).state
        val step = reduceDocumentRead(accepted, read(version = 6))
        assertEquals(7, step.state.documents.inForce(service)?.version?.value)
    }

    @Test
    fun `a withdrawn service has no document in force and is not restored by an older version`() {
        val withdrawn = testDocument(version = 8, withdrawn = true)
        val first = reduceDocumentRead(testCommon(), DocumentRead(null, withdrawn.right())).state
        val second = reduceDocumentRead(first, read(version = 7)).state
        assertEquals(null, second.documents.inForce(service))
    }

    @Property(seed = "42", tries = 300)
    fun `documents received in any order, once or more, lead to the same accepted versions`(
        @ForAll @Size(min = 1, max = 12) versions: List<
            @IntRange(min = 1, max = 4)
            Int
            >,
        @ForAll shuffleSeed: Long
    ) {
        val reads = versions.mapIndexed { index, version ->
            read(version.toLong(), contentVariant = index % 2)
        }
        val forward = reads.fold(testCommon()) { state, event ->
            reduceDocumentRead(state, event).state
        }
        val shuffled = (reads + reads).shuffled(kotlin.random.Random(shuffleSeed))
            .fold(testCommon()) { state, event -> reduceDocumentRead(state, event).state }
        assertEquals(forward.documents.stamps(), shuffled.documents.stamps())
        assertEquals(forward.documents.hash, shuffled.documents.hash)
        assertTrue(forward.documents.hash != 0L)
    }

    private fun read(version: Long, contentVariant: Int = 0): DocumentRead =
        DocumentRead(HostId("peer"), testDocument(version, contentVariant = contentVariant).right())
}
