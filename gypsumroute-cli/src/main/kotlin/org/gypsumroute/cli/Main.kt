package org.gypsumroute.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.gypsumroute.cli.load.LoadCommand

/** Starts the command line. */
fun main(arguments: Array<String>) = GypsumrouteCommand().subcommands(LoadCommand()).main(arguments)

internal class GypsumrouteCommand : CliktCommand(name = "gypsumroute") {
    override fun run() = Unit
}
