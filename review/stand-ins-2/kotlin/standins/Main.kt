/*
 * Runs one case by its name.
 */
package standins

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** How a run ended. */
internal enum class Verdict(val exitCode: Int) { HELD(0), BROKEN(1), NOT_RUN(2) }

/** The parts of a run that every case needs. */
internal class Run(val record: Record, val folder: Path, val withDisruption: Boolean)

private val cases: Map<String, (Run) -> Verdict> = mapOf(
    "long-ids" to ::longIds,
    "reset-answer" to ::resetAnswer,
    "endless-answer" to ::endlessAnswer,
    "odd-heads" to ::oddHeads
)

fun main(arguments: Array<String>) {
    val case = arguments.getOrNull(0)?.let { cases[it] }
    val folder = arguments.getOrNull(1)?.let { Path.of(it) }
    if (case == null || folder == null) {
        System.err.println("usage: run CASE FOLDER; cases: ${cases.keys}")
        exitProcess(Verdict.NOT_RUN.exitCode)
    }
    val temporary = Files.createTempDirectory("review")
    val verdict = try {
        Record(folder.resolve("record.txt")).use { record ->
            val run = Run(record, temporary, System.getenv("TROUBLE") != "0")
            case(run).also { record.line("verdict: $it") }
        }
    } catch (failure: Exception) {
        failure.printStackTrace()
        Verdict.NOT_RUN
    }
    temporary.toFile().deleteRecursively()
    exitProcess(verdict.exitCode)
}
