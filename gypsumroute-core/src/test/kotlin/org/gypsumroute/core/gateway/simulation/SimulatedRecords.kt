/*
 * What a simulated deployment publishes.
 */
package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Route
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.KEY_DIGEST
import org.gypsumroute.core.gateway.exchange.ExchangeState
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.placement.GatewayPolicies
import org.gypsumroute.core.gateway.routeOf
import org.gypsumroute.core.gateway.sampleBounds

/** The record of the engine with this index. */
internal fun engineRecord(deployment: Deployment, index: Int, id: EndpointId) = EndpointRecord(
    id = id,
    service = modelService,
    address = EndpointAddress(id.value, 80),
    dataCentre = DataCentreId("d${index % deployment.dataCentres}"),
    slots = deployment.profile.slots,
    leaving = false,
    coldRemaining = Duration.ZERO,
    startedAt = UnixTime(1),
    sequence = 1
)

/** A route for each kind of request. */
internal fun routesOf(kinds: List<RequestKind>): List<Route> = kinds.map { kind ->
    routeOf("/${kind.name}/", modelService, Repetition.RESUMABLE, streaming = true).copy(
        timeout = kind.deadline,
        objective = kind.objective,
        gapObjective = kind.gap
    )
}

/** The head of a caller's request that has this time left. */
internal fun requestHead(
    id: RequestId,
    kind: RequestKind,
    size: RequestSizes,
    remaining: Duration
) = RequestHead(
    callerRequestId = "$id",
    hostName = "a.example",
    path = "/${kind.name}/x",
    keyDigest = KEY_DIGEST,
    timeout = remaining,
    promptTokens = Tokens(size.prompt),
    outputLimit = Tokens(size.output * 4),
    expectedOutput = Tokens(size.statedOutput)
)

/** The first state of the gateway with this index. */
internal fun gatewayState(
    index: Int,
    deployment: Deployment,
    address: EndpointAddress,
    policies: GatewayPolicies
) = GatewayState(
    common = CommonState(
        NodeIdentity(
            HostId("gateway-$index"),
            IncarnationId("$index"),
            NodeRole.GATEWAY,
            RegionId("region"),
            DataCentreId("d${index % deployment.dataCentres}")
        ),
        Timings(),
        defaultPolicies
    ),
    bounds = sampleBounds,
    policies = policies,
    exchange = ExchangeState(address, listOf(EndpointAddress("10.0.0.0", 7000))),
    startedAt = UnixTime(0)
)

/** How an attempt ends whose engine went down. */
internal fun lossOf(answerStarted: Boolean): AttemptOutcome = if (answerStarted) {
    AttemptOutcome.Broken("down", connectionLost = true)
} else {
    AttemptOutcome.Lost("down", connectionLost = true)
}
