package org.gypsumroute.cli.check

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import java.io.File
import java.io.IOException
import org.gypsumroute.api.DocumentDecodeResult
import org.gypsumroute.api.DocumentFault
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.cli.EXIT_FAILED
import org.gypsumroute.cli.EXIT_UNREACHABLE
import org.gypsumroute.cli.NodeClient
import org.gypsumroute.cli.ReadNode
import org.gypsumroute.cli.STATUS_OK
import org.gypsumroute.cli.VARIABLE_PREFIX
import org.gypsumroute.cli.url
import org.gypsumroute.clients.DocumentYamlCodec

/** `gypsumroute check`: validates service documents without a running fleet. */
internal class CheckCommand(private val read: ReadNode = NodeClient()::read) :
    CliktCommand(name = "check") {
    private val files by argument(name = "FILE", help = "Service documents in YAML")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
        .multiple(required = true)
    private val against by option(
        "--against",
        help = "Operators' port of an entry, http://address:port; shows the difference to the " +
            "documents that it has in force (default: no comparison)"
    ).url()

    init {
        context { autoEnvvarPrefix = "${VARIABLE_PREFIX}_CHECK" }
    }

    override fun help(context: Context) =
        "Validates service documents by the rules that every process applies."

    override fun helpEpilog(context: Context) =
        "Exit codes: 0 all valid; 1 a document is invalid; 2 usage or unreadable file; " +
            "3 all valid, but the entry could not be asked. Faults are FILE:LINE: FIELD: PROBLEM."

    override fun run() {
        val codes = files.map { file -> check(file) }
        val code = if (EXIT_FAILED in codes) EXIT_FAILED else codes.max()
        if (code != 0) throw ProgramResult(code)
    }

    private fun check(file: File): Int = when (val reading = readFile(file)) {
        is Either.Left -> {
            for (fault in reading.value) echo(describeFault(file, fault))
            EXIT_FAILED
        }

        is Either.Right -> {
            echo(
                "$file: valid: ${reading.value.document.service} version " +
                    "${reading.value.document.version}"
            )
            against?.let { compare(it, reading.value) } ?: 0
        }
    }

    private fun compare(entry: String, proposed: EncodedDocument): Int {
        val service = proposed.document.service
        val lines = read(entry, "/documents/$service").fold(
            { cause -> return notAsked("$entry could not be reached: $cause") },
            { page ->
                when (page.status) {
                    STATUS_OK -> DocumentYamlCodec.decode(page.bytes).fold(
                        { return notAsked("$entry: document in force cannot be read") },
                        { describeDifference(it, proposed) }
                    )

                    STATUS_NOT_FOUND -> listOf("+ $service has no document in force yet")

                    else -> return notAsked("$entry answered with status ${page.status}")
                }
            }
        )
        for (line in lines) echo("  $line")
        return 0
    }

    private fun notAsked(cause: String): Int {
        echo(cause, err = true)
        return EXIT_UNREACHABLE
    }

    private fun readFile(file: File): DocumentDecodeResult = try {
        DocumentYamlCodec.decode(file.readBytes())
    } catch (failure: IOException) {
        echo("$file: ${failure.message}", err = true)
        throw ProgramResult(EXIT_UNREADABLE)
    }

    private companion object {
        const val STATUS_NOT_FOUND = 404
        const val EXIT_UNREADABLE = 2
    }
}

/** `FILE:LINE: FIELD: PROBLEM`, as editors and log collectors read it. */
internal fun describeFault(file: File, fault: DocumentFault): String {
    val field = fault.field.ifEmpty { "document" }
    return "$file:${fault.line}: $field: ${fault.problem}"
}
