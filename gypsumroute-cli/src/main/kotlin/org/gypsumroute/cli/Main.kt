package org.gypsumroute.cli

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.output.MordantHelpFormatter
import com.github.ajalt.clikt.parameters.options.versionOption
import kotlin.system.exitProcess
import org.gypsumroute.cli.burn.BurnCommand
import org.gypsumroute.cli.check.CheckCommand
import org.gypsumroute.cli.load.LoadCommand
import org.gypsumroute.cli.status.StatusCommand
import org.gypsumroute.platform.CheckConfigurationCommand
import org.gypsumroute.platform.GatewayCommand

/** Runs the command line. Invalid settings end it with exit code 2. */
fun main(arguments: Array<String>) {
    val command = gypsumrouteCommand(arguments.firstOrNull())
    val code = try {
        command.parse(arguments)
        0
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        exitCodeOf(error)
    }
    exitProcess(code)
}

/**
 * The root command with the subcommand called [subcommandName], or with all subcommands if there is
 * none of that name. Building the options of all subcommands would slow down the start of a process
 * considerably.
 */
internal fun gypsumrouteCommand(subcommandName: String? = null): GypsumrouteCommand {
    val build = subcommandBuilders[subcommandName]
    val built = if (build == null) subcommandBuilders.values.map { it() } else listOf(build())
    return GypsumrouteCommand().subcommands(built)
}

private val subcommandBuilders: Map<String, () -> CliktCommand> = mapOf(
    "entry" to { EntryCommand() },
    "agent" to { AgentCommand() },
    "gateway" to { GatewayCommand() },
    "check" to { CheckCommand() },
    "check-configuration" to { CheckConfigurationCommand() },
    "status" to { StatusCommand() },
    "burn" to { BurnCommand() },
    "load" to { LoadCommand() }
)

internal fun exitCodeOf(error: CliktError): Int =
    if (error is UsageError) EXIT_USAGE else error.statusCode

/** Exit code of `check` if at least one document is invalid. */
internal const val EXIT_INVALID_DOCUMENT = 1

/** Exit code of a command that could not reach at least one node. */
internal const val EXIT_UNREACHABLE = 3

internal class GypsumrouteCommand : CliktCommand(name = "gypsumroute") {
    init {
        context {
            helpFormatter = {
                MordantHelpFormatter(it, showDefaultValues = true, showRequiredTag = true)
            }
        }
        versionOption(VERSION, help = "Prints the version.")
        completionOption(help = "Prints a completion script for this shell.")
    }

    override fun help(context: Context) =
        "Routes prompts of widely differing lengths to model engines and plain services."

    override fun helpEpilog(context: Context) = EXIT_CODES_HELP

    override fun run() = Unit
}

private const val EXIT_USAGE = 2
private const val EXIT_CODES_HELP =
    "Exit codes: 0 success or planned stop; 1 failure, drain limit passed or invalid document; " +
        "2 faulty settings or usage, all faults reported at once; 3 a node could not be reached."
private const val VERSION = "0.1.0"
