package org.gypsumroute.core

import org.gypsumroute.api.Event
import org.gypsumroute.api.Step

internal fun reduceEntry(state: EntryState, event: Event): Step<EntryState> =
    reduceCommon(state.common, event)
        .then { updateReadiness(it) }
        .map { state.copy(common = it) }
