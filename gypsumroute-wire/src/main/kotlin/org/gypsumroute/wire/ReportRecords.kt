/*
 * CBOR records of the reports between gateways. A datagram carries one report: a version byte and a
 * CBOR body. A label is never given to another field, and a new field needs a new label and a
 * default value.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.gypsumroute.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * [age] is the time in milliseconds since the reporting process started, and [storeAnswerAge] since
 * the store last answered it.
 */
@Serializable
internal class ReportRecord(
    @CborLabel(label = 1) val host: String,
    @CborLabel(label = 2) val incarnation: String,
    @CborLabel(label = 3) val sequence: Long,
    @CborLabel(label = 4) val revision: Long,
    @CborLabel(label = 5) val storeReachable: Boolean,
    @CborLabel(label = 6) val loads: List<LoadRecord> = emptyList(),
    @CborLabel(label = 7) val members: List<String> = emptyList(),
    @CborLabel(label = 8) val ready: Boolean = false,
    @CborLabel(label = 9) val suspicions: List<SuspicionRecord> = emptyList(),
    @CborLabel(label = 10) val clearances: List<ClearanceRecord> = emptyList(),
    @CborLabel(label = 11) val age: Int = 0,
    @CborLabel(label = 12) val leaving: List<LeavingRecord> = emptyList(),
    @CborLabel(label = 13) val storeAnswerAge: Int? = null,
    @CborLabel(label = 14) val organisationUse: List<ServiceUseRecord> = emptyList(),
    @CborLabel(label = 15) val paces: List<PaceRecord> = emptyList(),
    @CborLabel(label = 16) val era: Long = 0,
    @CborLabel(label = 17) val tableVersion: Long? = null
)

/** Use of a service by the [largest] organisations and by all others; times in milliseconds. */
@Serializable
internal class ServiceUseRecord(
    @CborLabel(label = 1) val service: String,
    @CborLabel(label = 2) val largest: List<OrganisationUseRecord> = emptyList(),
    @CborLabel(label = 3) val othersAsked: Long = 0,
    @CborLabel(label = 4) val othersAdmitted: Long = 0,
    @CborLabel(label = 5) val activeOrganisations: Int = 0
)

/** Engine time that one organisation asked for and was admitted for, in milliseconds. */
@Serializable
internal class OrganisationUseRecord(
    @CborLabel(label = 1) val organisation: Int,
    @CborLabel(label = 2) val asked: Long = 0,
    @CborLabel(label = 3) val admitted: Long = 0
)

/**
 * An endpoint that said, [ago] milliseconds before, that its start at [startedAt] leaves: in an
 * answer or [byRecord].
 */
@Serializable
internal class LeavingRecord(
    @CborLabel(label = 1) val endpoint: String,
    @CborLabel(label = 2) val startedAt: Long? = null,
    @CborLabel(label = 3) val ago: Int = 0,
    @CborLabel(label = 4) val byRecord: Boolean = false
)

/**
 * Answers of the start of an endpoint at [startedAt] that took longer than expected. [ratio] of the
 * times and [weight], the number of answers, are in hundredths.
 */
@Serializable
internal class PaceRecord(
    @CborLabel(label = 1) val endpoint: String,
    @CborLabel(label = 2) val startedAt: Long? = null,
    @CborLabel(label = 3) val ratio: Int,
    @CborLabel(label = 4) val weight: Int
)

/** Losses of endpoints under each of some parts of prompts: [part] and [furtherParts]. */
@Serializable
internal class SuspicionRecord(
    @CborLabel(label = 1) val part: Long,
    @CborLabel(label = 2) val othersServed: Int = 0,
    @CborLabel(label = 3) val losses: List<LossRecord> = emptyList(),
    @CborLabel(label = 4) val furtherParts: List<Long> = emptyList()
)

/** Ages are in milliseconds. */
@Serializable
internal class LossRecord(
    @CborLabel(label = 1) val start: Int,
    @CborLabel(label = 2) val organisation: Int,
    @CborLabel(label = 3) val sentAgo: Int,
    @CborLabel(label = 4) val lostAgo: Int
)

/** Age in milliseconds of a complete answer to a prompt with [part] and [furtherParts]. */
@Serializable
internal class ClearanceRecord(
    @CborLabel(label = 1) val part: Long,
    @CborLabel(label = 2) val ago: Int,
    @CborLabel(label = 3) val furtherParts: List<Long> = emptyList()
)

/** Load of one endpoint. Times are in milliseconds, [delayCostPerSecond] in hundredths. */
@Serializable
internal class LoadRecord(
    @CborLabel(label = 1) val endpoint: String,
    @CborLabel(label = 2) val openRequests: Int = 0,
    @CborLabel(label = 3) val decodingRequests: Int = 0,
    @CborLabel(label = 4) val context: Long = 0,
    @CborLabel(label = 5) val pendingPrefill: Long = 0,
    @CborLabel(label = 6) val totalPrefillSent: Long = 0,
    @CborLabel(label = 7) val totalHelperPrefillSent: Long = 0,
    @CborLabel(label = 8) val delayCostPerSecond: Int = 0,
    @CborLabel(label = 9) val gapTolerances: List<GapToleranceRecord> = emptyList()
)

/** [gap] is in milliseconds, null if a pause of any length is tolerated; [value] in hundredths. */
@Serializable
internal class GapToleranceRecord(
    @CborLabel(label = 1) val value: Int,
    @CborLabel(label = 2) val gap: Int? = null
)
