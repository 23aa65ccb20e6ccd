package org.gypsumroute.cli

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import kotlin.system.exitProcess
import org.gypsumroute.cli.load.LoadCommand

/** Starts the command line; settings with faults end it with exit code 2. */
fun main(arguments: Array<String>) {
    val command = gypsumrouteCommand()
    val code = try {
        command.parse(arguments)
        0
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        exitCodeOf(error)
    }
    exitProcess(code)
}

internal fun gypsumrouteCommand(): GypsumrouteCommand =
    GypsumrouteCommand().subcommands(EntryCommand(), AgentCommand(), LoadCommand())

internal fun exitCodeOf(error: CliktError): Int =
    if (error is UsageError) EXIT_SETTINGS else error.statusCode

internal class GypsumrouteCommand : CliktCommand(name = "gypsumroute") {
    init {
        versionOption(VERSION)
        completionOption(help = "Prints a completion script for this shell.")
    }

    override fun run() = Unit
}

private const val EXIT_SETTINGS = 2
private const val VERSION = "0.1.0"
