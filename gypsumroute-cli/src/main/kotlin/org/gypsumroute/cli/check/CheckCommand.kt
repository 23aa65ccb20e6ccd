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
import org.gypsumroute.cli.EXIT_INVALID_DOCUMENT
import org.gypsumroute.cli.EXIT_UNREACHABLE
import org.gypsumroute.cli.NodeClient
import org.gypsumroute.cli.NodePageReader
import org.gypsumroute.cli.STATUS_OK
import org.gypsumroute.cli.VARIABLE_PREFIX
import org.gypsumroute.cli.url
import org.gypsumroute.clients.DocumentYamlCodec

/**
 * `gypsumroute check`: validates service documents without a running fleet, and compares them with
 * those that an entry has in force if asked to.
 */
internal class CheckCommand(private val readPage: NodePageReader = NodeClient()::read) :
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
        val code = if (EXIT_INVALID_DOCUMENT in codes) EXIT_INVALID_DOCUMENT else codes.max()
        if (code != 0) throw ProgramResult(code)
    }

    private fun check(file: File): Int = when (val decoded = decodeFile(file)) {
        is Either.Left -> {
            for (fault in decoded.value) echo(describeFault(file, fault))
            EXIT_INVALID_DOCUMENT
        }

        is Either.Right -> {
            echo(
                "$file: valid: ${decoded.value.document.service} version " +
                    "${decoded.value.document.version}"
            )
            against?.let { compare(it, decoded.value) } ?: 0
        }
    }

    private fun compare(entry: String, proposed: EncodedDocument): Int {
        val service = proposed.document.service
        val lines = readPage(entry, "/documents/$service").fold(
            { cause -> return reportUnreachable("$entry could not be reached: $cause") },
            { page ->
                when (page.status) {
                    STATUS_OK -> DocumentYamlCodec.decode(page.bytes).fold(
                        { return reportUnreachable("$entry: document in force cannot be read") },
                        { describeDifference(it, proposed) }
                    )

                    STATUS_NOT_FOUND -> listOf("+ $service has no document in force yet")

                    else -> return reportUnreachable("$entry answered with status ${page.status}")
                }
            }
        )
        for (line in lines) echo("  $line")
        return 0
    }

    private fun reportUnreachable(cause: String): Int {
        echo(cause, err = true)
        return EXIT_UNREACHABLE
    }

    private fun decodeFile(file: File): DocumentDecodeResult = try {
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

/** Formats a fault as `FILE:LINE: FIELD: PROBLEM`, which editors and log collectors parse. */
internal fun describeFault(file: File, fault: DocumentFault): String {
    val field = fault.field.ifEmpty { "document" }
    return "$file:${fault.line}: $field: ${fault.problem}"
}
