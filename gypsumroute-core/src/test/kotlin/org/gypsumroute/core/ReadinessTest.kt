package org.gypsumroute.core

import arrow.core.right
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.gypsumroute.api.PlatformEvent.ConfigurationReadEnded
import org.gypsumroute.api.PlatformEvent.DocumentRead
import org.gypsumroute.api.RuntimeEvent.TimerFired
import org.gypsumroute.api.TimerId
import org.junit.jupiter.api.Test

/** Guards against a process that is ready with a part of the documents and refuses the rest. */
class ReadinessTest {
    private val started: NodeState =
        EntryState(testCommon().copy(documents = DocumentsState()))

    @Test
    fun `an entry is not ready before its first read of the documents ended`() {
        val first = reduce(started, DocumentRead(null, testDocument().right())).state
        val waited = reduce(first, TimerFired(TimerId.Startup)).state
        assertFalse(waited.common.ready)
        assertTrue(reduce(waited, ConfigurationReadEnded(succeeded = true)).state.common.ready)
    }

    @Test
    fun `an entry whose configuration service is down is ready with its peers' documents`() {
        val failed = reduce(started, ConfigurationReadEnded(succeeded = false)).state
        val waited = reduce(failed, TimerFired(TimerId.Startup)).state
        assertFalse(waited.common.ready)
        assertTrue(reduce(waited, DocumentRead(null, testDocument().right())).state.common.ready)
    }
}
