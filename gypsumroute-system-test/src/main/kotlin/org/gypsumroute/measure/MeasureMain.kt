/*
 * Main program of bin/measure.
 */
package org.gypsumroute.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import java.io.File
import java.nio.file.Files
import java.time.Instant
import java.time.temporal.ChronoUnit
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

internal object MeasureMain {
    @JvmStatic
    fun main(arguments: Array<String>) = MeasureCommand().main(arguments)
}

private class MeasureCommand : CliktCommand(name = "measure") {
    private val measurements = mapOf(
        "short-prompts" to ::measureShortPrompts,
        "data-centre-out" to ::measureDataCentreOut,
        "longest-prompts" to ::measureLongestPrompts,
        "slow-readers" to ::measureSlowReaders,
        "cold-restart" to ::measureColdRestart,
        "overhead" to ::measureOverhead,
        "document-spread" to ::measureDocumentSpread
    )
    private val only by option("--only", help = "Runs only this measurement; may be repeated")
        .choice(*measurements.keys.toTypedArray()).multiple()
    private val seed by option("--seed", help = "Seed of arrivals and prompt lengths")
        .long().default(1)
    private val output by option("--output", help = "Folder for the page and its plots")
        .file(canBeFile = false).default(File("docs"))
    private val label by option("--label", help = "Remark on the machine's other load")
        .default("")

    private val logs by option("--logs", help = "Folder in which the processes' logs are kept")
        .file(canBeFile = false)

    override fun help(context: Context) =
        "Measures the goals of docs/design.md with real processes and stand-ins on loopback."

    override fun run() {
        val start = TimeSource.Monotonic.markNow()
        val startedAt = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString()
        val loadAtStart = loadAverage() + if (label.isEmpty()) "" else "; $label"
        val workFolder =
            logs?.apply { mkdirs() } ?: Files.createTempDirectory("gypsumroute-measure").toFile()
        val run = MeasureRun(RunFiles(File("."), workFolder), seed)
        val chosen = measurements.filterKeys { only.isEmpty() || it in only }
        val results = chosen.map { (name, measure) ->
            echo("$name ...")
            val cpuTimeBefore = BusyCpuTime.read()
            val result = measure(run).copy(busyCores = BusyCpuTime.read().coresSince(cpuTimeBefore))
            for (check in result.checks) {
                echo(
                    "  ${check.name}: ${formatNumber(check.value)}${check.unit.asSuffix()}, " +
                        "limit ${formatNumber(check.limit)}, ${check.verdict}"
                )
            }
            for (figure in result.figures) {
                echo(
                    "  ${figure.name}: ${formatNumber(figure.value)} / " +
                        "${figure.baseline?.let(::formatNumber) ?: "-"}${figure.unit.asSuffix()}"
                )
            }
            for (note in result.notes) echo("  - $note")
            result
        }
        if (logs == null) workFolder.deleteRecursively()
        val metadata = RunMetadata(
            command = (listOf("bin/measure") + currentContextArguments()).joinToString(" "),
            seed = seed,
            machine = machineSize(),
            startedAt = startedAt,
            loadAtStart = loadAtStart,
            minutes = start.elapsedNow().toDouble(DurationUnit.MINUTES)
        )
        writePage(metadata, results)
    }

    private fun currentContextArguments(): List<String> =
        only.map { "--only $it" } + "--seed $seed" +
            if (label.isEmpty()) emptyList() else listOf("--label '$label'")

    private fun writePage(metadata: RunMetadata, results: List<Measurement>) {
        val plots = File(output, "plots").apply { mkdirs() }
        for (plot in results.flatMap { it.plots }) {
            File(plots, "${plot.name}.svg").writeText(renderSvg(plot))
        }
        val page = File(output, "MEASUREMENTS.md")
        val oldPage = if (page.exists()) page.readText() else ""
        val manualChapter = oldPage.indexOf(MANUAL_CHAPTER_HEADING).takeIf { it >= 0 }
            ?.let { oldPage.substring(it) }
        page.writeText(renderReport(metadata, results) + manualChapter?.let { "\n$it" }.orEmpty())
        echo("wrote $page")
    }
}

/** Heading of the page's last chapter, which is written by hand and kept. */
private const val MANUAL_CHAPTER_HEADING = "## On the users' platform"
