package org.gypsumroute.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main

/** Starts the command line. */
fun main(arguments: Array<String>) = GypsumrouteCommand().main(arguments)

internal class GypsumrouteCommand : CliktCommand(name = "gypsumroute") {
    override fun run() = Unit
}
