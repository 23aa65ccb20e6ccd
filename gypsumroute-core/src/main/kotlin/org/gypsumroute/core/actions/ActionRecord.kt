package org.gypsumroute.core.actions

import org.gypsumroute.api.LeaseId

/** State of one action; [lease] is the lease under which the action runs or ran. */
data class ActionRecord(val lease: LeaseId, val phase: ActionPhase)
