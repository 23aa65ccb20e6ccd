package org.gypsumroute.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.groups.mutuallyExclusiveOptions
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.groups.required
import com.github.ajalt.clikt.parameters.groups.single
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import org.gypsumroute.agent.AgentSettings
import org.gypsumroute.agent.BackEnd
import org.gypsumroute.agent.runAgent
import org.gypsumroute.api.PoolId
import org.gypsumroute.core.admission.shortestClassFirst
import org.gypsumroute.core.admission.strictArrivalOrder
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.engine.growAtWarmSpeed
import org.gypsumroute.core.engine.noRamp

/**
 * `gypsumroute agent`: runs the agent of one model engine or plain service. [environment] reads
 * environment variables, and [start] runs the agent and returns its exit code.
 */
internal class AgentCommand(
    environment: (String) -> String? = System::getenv,
    private val start: (AgentSettings) -> Int = ::runAgent
) : CliktCommand(name = "agent") {
    private val node by NodeOptions(environment)
    private val pool by option(help = "Pool of this endpoint").name().required()
    private val listenAddress by option(help = "Address on which entries connect")
        .default(LOOPBACK)
    private val listenPort by option(help = "Port on which entries connect").port().required()
    private val backEnd by mutuallyExclusiveOptions<BackEnd>(
        option("--engine-url", help = "Model engine beside this agent, http://address:port")
            .url().convert { BackEnd.Engine(it) },
        option(
            "--plain-service-url",
            help = "Plain service beside this agent, http://address:port; instead of an engine"
        ).url().convert { BackEnd.PlainService(it) }
    ).single().required()
    private val queueOrder by option(
        help = "Order of queued work; one-queue exists for measurements"
    ).choice(
        "shortest-class-first" to shortestClassFirst,
        "one-queue" to strictArrivalOrder
    ).default(shortestClassFirst, defaultForHelp = "shortest-class-first")
    private val ramp by option(
        help = "Growth of a cold endpoint's share; none exists for measurements"
    ).choice("warm-speed" to growAtWarmSpeed, "none" to noRamp)
        .default(growAtWarmSpeed, defaultForHelp = "warm-speed")
    private val timings by TimingOptions()

    init {
        context { autoEnvvarPrefix = VARIABLE_PREFIX }
    }

    override fun help(context: Context) =
        "Guards the model engine or plain service beside it and runs work for entries."

    override fun helpEpilog(context: Context) = VARIABLES_HELP

    override fun run() = throw ProgramResult(start(settings()))

    private fun settings() = AgentSettings(
        node = node.settings(timings.timings()),
        pool = PoolId(pool),
        listenAddress = listenAddress,
        listenPort = listenPort,
        backEnd = backEnd,
        policies = defaultPolicies.copy(queueOrder = queueOrder, ramp = ramp)
    )
}
