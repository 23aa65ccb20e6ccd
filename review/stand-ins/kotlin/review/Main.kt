/*
 * Runs one case and ends with 0 if the rule held, 1 if it was broken, and 2 if it could not run.
 */
package review

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** What every case uses. */
class Setup(val record: Record, val trouble: Boolean, private val folder: Path) {
    val store = StoreStandIn()
    val ports = Gateway.freePorts()

    /** Starts a single gateway and waits until it is ready. */
    fun gateway(): Gateway = gateways(1).single()

    /** Starts gateways that know each other as seeds, and waits until they are ready. */
    fun gateways(count: Int): List<Gateway> {
        val created = newGateways(count)
        created.forEach { it.start() }
        created.forEach { it.awaitReady() }
        return created
    }

    fun newGateways(count: Int): List<Gateway> {
        val addresses = Gateway.addresses(count)
        return addresses.mapIndexed { index, ip ->
            Gateway("gateway-${index + 1}", ip, folder, store.Door(), ports, addresses)
        }
    }
}

/** The first five lie in folders of their own; the last two are described in the report only. */
private val cases: Map<String, (Setup) -> Boolean> = mapOf(
    "torn-extra-answer" to ::tornExtraAnswer,
    "unanswered-prompt" to ::unansweredPrompt,
    "stuck-watch" to ::stuckWatch,
    "late-crashing-part" to ::lateCrashingPart,
    "crashing-part-and-kill" to ::crashingPartAndKill,
    "cut-watch" to ::cutWatch,
    "starved-renewal" to ::starvedRenewal
)

fun main(arguments: Array<String>) {
    val (name, caseFolder) = arguments
    val case = cases.getValue(name)
    val trouble = System.getenv("TROUBLE") != "0"
    val folder = Files.createTempDirectory("gypsumroute-review")
    val record = Record(Path.of(caseFolder, "record.txt"))
    val code = try {
        record.line("case $name, trouble: $trouble, logs of the gateways in $folder")
        if (case(Setup(record, trouble, folder))) 0 else 1
    } catch (exception: CaseCannotRun) {
        record.line("cannot run: ${exception.message}")
        2
    } catch (exception: Exception) {
        record.line("cannot run: $exception")
        2
    }
    record.line("exit code $code")
    record.close()
    println("$name: exit code $code")
    exitProcess(code)
}
