package org.gypsumroute.core

import org.gypsumroute.api.LeaseId

/** What is known of one action; [lease] is the one under which it runs or ran. */
data class ActionRecord(val lease: LeaseId, val phase: ActionPhase)
