package org.gypsumroute.core

import arrow.core.right
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.gypsumroute.api.PlatformEvent.ConfigurationReadEnded
import org.gypsumroute.api.PlatformEvent.DocumentRead
import org.gypsumroute.api.RuntimeEvent.TimerFired
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.documents.DocumentsState
import org.junit.jupiter.api.Test

/** Guards against an entry that is ready with only some documents and refuses other services. */
class ReadinessTest {
    private val started: NodeState =
        EntryState(testCommon().copy(documents = DocumentsState()))

    @Test
    fun `an entry is not ready before its first read of the documents has ended`() {
        val first = reduce(started, DocumentRead(null, testDocument().right())).state
        val waited = reduce(first, TimerFired(TimerId.Startup)).state
        assertFalse(waited.common.ready)
        assertTrue(reduce(waited, ConfigurationReadEnded(succeeded = true)).state.common.ready)
    }

    @Test
    fun `an entry whose configuration service is down becomes ready with documents from peers`() {
        val failed = reduce(started, ConfigurationReadEnded(succeeded = false)).state
        val waited = reduce(failed, TimerFired(TimerId.Startup)).state
        assertFalse(waited.common.ready)
        assertTrue(reduce(waited, DocumentRead(null, testDocument().right())).state.common.ready)
    }
}
