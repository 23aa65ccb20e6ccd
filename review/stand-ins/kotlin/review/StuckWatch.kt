/*
 * Case: answers of the store are lost while a large configuration changes in quick succession.
 */
package review

import java.util.concurrent.atomic.AtomicInteger

/**
 * Publishes a large configuration a dozen times while the store loses one answer in three. The last
 * version moves a route to another service and drops a key. The rule is broken if gateways that are
 * in touch again still send requests of that route to the old service, or requests with that key.
 */
fun stuckWatch(setup: Setup): Boolean {
    for (service in listOf(OLD_SERVICE, NEW_SERVICE)) {
        val runner = RunnerStandIn("i-$service", service, slots = 6) { call ->
            setup.record.ran(call.id, "i-$service")
            call.answer("200 OK", "done by $service")
        }
        setup.store.put("servers/${runner.id}", runner.entry())
    }
    setup.record.line("size of a version: ${largeConfiguration(1).length} bytes")
    setup.store.put("op/config", largeConfiguration(1))
    val gateways = setup.gateways(GATEWAYS)
    Thread.sleep(CALM_MS)
    if (setup.trouble) gateways.forEach { it.store.policy = losingEachThirdAnswer() }
    val begin = System.nanoTime()
    for (version in 2..LAST_VERSION) {
        setup.store.put("op/config", largeConfiguration(version))
        setup.record.line("version $version is acknowledged")
        Thread.sleep(STORM_GAP_MS)
    }
    Thread.sleep((LOST_MS - millisecondsSince(begin)).coerceAtLeast(0))
    gateways.forEach { it.store.policy = { StoreAnswer.SERVED } }
    setup.record.line("the store loses no more answers")
    Thread.sleep(STABILITY_MS + APPLY_MS)
    setup.record.line("all gateways are in touch; the last version has to be in force")
    repeat(CHECKS) { check ->
        for ((index, gateway) in gateways.withIndex()) {
            checkRoute(setup, gateway, "moved-$check-${index + 1}", Caller.KEY)
            checkRoute(setup, gateway, "dropped-$check-${index + 1}", DROPPED_KEY)
        }
        Thread.sleep(CHECK_INTERVAL_MS)
    }
    val byOldService = setup.record.runs.filterValues { "i-$OLD_SERVICE" in it }.keys
    val withDroppedKey = setup.record.runs.keys.filter { it.startsWith("dropped") }
    setup.record.line(
        "${byOldService.size} requests were run by the old service, " +
            "${withDroppedKey.size} with the dropped key"
    )
    return byOldService.isEmpty() && withDroppedKey.isEmpty()
}

private fun losingEachThirdAnswer(): () -> StoreAnswer {
    val calls = AtomicInteger()
    return {
        val lost = calls.getAndIncrement() % CALLS_PER_LOST_ANSWER == 1
        if (lost) StoreAnswer.LOST else StoreAnswer.SERVED
    }
}

private fun checkRoute(setup: Setup, gateway: Gateway, id: String, key: String) {
    val headers = mapOf("Gypsumroute-Key" to key)
    val answer = Caller(gateway.callersAddress).use {
        it.call("/move/", id, DEADLINE_MS, headers = headers)
    }
    setup.record.line("$id: ${answer?.head?.status} ${answer?.text}")
}

private fun largeConfiguration(version: Int): String {
    val isLast = version == LAST_VERSION
    val moved = route("moved", "/move/", if (isLast) NEW_SERVICE else OLD_SERVICE)
    val others = List(OTHER_ROUTES) { route("r-$it", "/idle$it/", OLD_SERVICE) }
    return configuration(
        version,
        others + moved,
        listOf(OLD_SERVICE, NEW_SERVICE),
        keys = if (isLast) listOf(Caller.KEY) else listOf(Caller.KEY, DROPPED_KEY)
    )
}

private fun route(name: String, prefix: String, service: String) =
    RouteEntry(name, prefix, "safe", service, timeoutMs = DEADLINE_MS, objectiveMs = 121)

private const val OLD_SERVICE = "old-desk"
private const val NEW_SERVICE = "new-desk"
private const val DROPPED_KEY = "anfqasnmgkcuyj8pjbvk"
private const val DEADLINE_MS = 600
private const val GATEWAYS = 3

/** Gives a version of half the size that the store takes. */
private const val OTHER_ROUTES = 2400
private const val LAST_VERSION = 13
private const val CALM_MS = 5000L
private const val STORM_GAP_MS = 330L
private const val LOST_MS = 4500L

/** One answer in three is lost. */
private const val CALLS_PER_LOST_ANSWER = 3
private const val STABILITY_MS = 3000L
private const val APPLY_MS = 2000L
private const val CHECKS = 20
private const val CHECK_INTERVAL_MS = 500L
