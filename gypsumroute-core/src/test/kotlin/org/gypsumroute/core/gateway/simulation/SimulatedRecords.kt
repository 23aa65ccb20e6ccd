/*
 * What a simulated deployment publishes.
 */
package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.Route
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.routeOf

/** The record of the engine with this index. */
internal fun engineRecord(deployment: Deployment, index: Int, id: EndpointId) = EndpointRecord(
    id = id,
    service = modelService,
    address = EndpointAddress(id.value, 80),
    dataCentre = DataCentreId("d${index % deployment.dataCentres}"),
    slots = deployment.profile.slots,
    leaving = false,
    coldRemaining = Duration.ZERO,
    startedAt = UnixTime(1)
)

/** A route for each kind of request. */
internal fun routesOf(kinds: List<RequestKind>): List<Route> = kinds.map { kind ->
    routeOf("/${kind.name}/", modelService, Repetition.RESUMABLE, streaming = true).copy(
        timeout = kind.deadline,
        objective = kind.objective,
        gapObjective = kind.gap
    )
}
