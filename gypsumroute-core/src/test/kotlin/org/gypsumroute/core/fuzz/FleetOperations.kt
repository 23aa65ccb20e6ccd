/*
 * Service documents and operators' changes of the fleet property.
 */
package org.gypsumroute.core.fuzz

import org.gypsumroute.api.ActionRule
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.core.testDocument

internal fun menuDocument(
    version: Long,
    out: Set<DataCentreId> = emptySet(),
    variant: Int = 0
): EncodedDocument = testDocument(version, MENU, contentVariant = variant) {
    it.copy(dataCentresOut = out)
}

internal fun deskDocument(version: Long): EncodedDocument = testDocument(version, DESK) {
    it.copy(
        kind = ServiceKind.PLAIN,
        pool = PoolId("desk"),
        model = null,
        actions = ActionRule(listOf(ORDER_PATH), keptRecords = 3)
    )
}

/** Publishes the next version of the menu document with one data centre out, or none. */
internal fun Fleet.changeDataCentresOut(pick: Int) {
    val out = if (pick % 2 == 0) setOf(DataCentreId("thamel")) else emptySet()
    platform.publish(menuDocument(nextMenuVersion(), out))
}

/** Publishes two different documents under the same version number. */
internal fun Fleet.publishConflictingDocuments(pick: Int) {
    val version = nextMenuVersion()
    platform.publish(menuDocument(version, variant = pick))
    platform.publish(menuDocument(version, variant = pick + 1))
}

internal fun Fleet.toggleLeaving(pick: Int) {
    val chosen = agents[pick % agents.size].record.host
    platform.changeHosts(
        platform.hosts.map { if (it.host == chosen) it.copy(leaving = !it.leaving) else it }
    )
}

private fun Fleet.nextMenuVersion(): Long =
    (platform.newest(ServiceId(MENU))?.document?.version?.value ?: 0) + 1
