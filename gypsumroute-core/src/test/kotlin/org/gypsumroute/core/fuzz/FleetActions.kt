/*
 * The actions of the fleet property: traffic, operators' changes and faults.
 */
package org.gypsumroute.core.fuzz

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.Policies

/** Random chains of actions on a new fleet. */
internal fun fleetChains(policies: Policies, length: Int): Arbitrary<ActionChain<Fleet>> =
    Arbitraries.longs().between(0, MAX_SEED).flatMap { seed ->
        val chain = ActionChain.startWith { startedFleet(policies, seed) }
        (traffic() + operations() + processFaults() + pathFaults())
            .fold(chain) { built, (weight, action) -> built.withAction(weight, action) }
            .withMaxTransformations(length)
    }

internal fun startedFleet(policies: Policies, seed: Long): Fleet = Fleet(policies, seed).apply {
    platform.publish(menuDocument(version = 1))
    platform.publish(deskDocument(version = 1))
    startAll()
}

private fun traffic(): List<Pair<Int, Action<Fleet>>> = listOf(
    8 to action("short prompt", 4_000) { fleet, pick ->
        fleet.sendPrompt(fleet.entries.pick(pick), 200L + pick, 8.seconds)
    },
    4 to action("long prompt", 30_000) { fleet, pick ->
        fleet.sendPrompt(fleet.entries.pick(pick), 4_000L + pick, 20.seconds)
    },
    2 to action("prompt for a group", 40_000) { fleet, pick ->
        fleet.sendPrompt(fleet.entries.pick(pick), 42_000L + pick / 2, 30.seconds)
    },
    4 to
        action("action key", 100) { fleet, pick ->
            fleet.requestActionKey(fleet.entries.pick(pick))
        },
    6 to action("order", 1_000) { fleet, pick ->
        fleet.keys.pickOrNull(pick / 2)?.let { fleet.placeOrder(fleet.entries.pick(pick), it) }
    },
    8 to action("time passes", 6_000) { fleet, pick ->
        fleet.schedule.advance((1 + pick).milliseconds)
    }
)

private fun operations(): List<Pair<Int, Action<Fleet>>> = listOf(
    1 to action("data centre out or in", 4) { fleet, pick -> fleet.changeDataCentresOut(pick) },
    1 to action("two documents race", 4) { fleet, pick -> fleet.publishConflictingDocuments(pick) },
    1 to action("host leaves or returns", 100) { fleet, pick -> fleet.toggleLeaving(pick) },
    1 to action("planned stop", 100) { fleet, pick ->
        fleet.processes.pick(pick).offer(RuntimeEvent.DrainRequested)
    },
    1 to action("configuration service fails", 4) { fleet, pick ->
        when (pick % 3) {
            0 -> fleet.platform.takeDown()
            1 -> fleet.platform.stale = true
            else -> fleet.platform.recover()
        }
    }
)

private fun processFaults(): List<Pair<Int, Action<Fleet>>> = listOf(
    1 to action("kill", 100) { fleet, pick -> fleet.processes.pick(pick).kill() },
    2 to action("restart", 100) { fleet, pick ->
        fleet.processes.filter { !it.alive }.pickOrNull(pick)?.start()
    },
    2 to action("pause", 100) { fleet, pick -> fleet.processes.pick(pick).pause() },
    3 to action("wake", 100) { fleet, pick ->
        fleet.processes.filter { it.paused }.pickOrNull(pick)?.resume()
    },
    1 to action("engine restarts", 100) { fleet, pick ->
        fleet.agents.pick(pick).engine.restart()
    },
    1 to action("engine unreachable or back", 100) { fleet, pick ->
        fleet.agents.pick(pick).engine.run { reachable = !reachable }
    },
    1 to action("cancels get lost", 100) { fleet, pick ->
        fleet.agents.pick(pick).engine.run { dropsCancels = !dropsCancels }
    }
)

private fun pathFaults(): List<Pair<Int, Action<Fleet>>> = listOf(
    1 to action("connection goes silent", 100) { fleet, pick ->
        fleet.links.pickOrNull(pick)?.let { fleet.silence(it) }
    },
    1 to action("one direction goes silent", 100) { fleet, pick ->
        fleet.links.pickOrNull(pick)?.let {
            if (pick % 2 == 0) it.silentToAgent = true else it.silentToEntry = true
        }
    },
    1 to action("connection breaks", 100) { fleet, pick ->
        fleet.links.pickOrNull(pick)?.let { fleet.closeLink(it, "reset") }
    },
    1 to action("partition", 100) { fleet, pick ->
        fleet.partition(fleet.entries.pick(pick), fleet.agents.pick(pick / 2))
    },
    1 to action("heal", 1) { fleet, _ -> fleet.heal() }
)

private fun action(name: String, choices: Int, change: (Fleet, Int) -> Unit): Action<Fleet> {
    val transformers = Arbitraries.integers().between(0, choices).map { pick ->
        Transformer.mutate<Fleet>("$name $pick") { fleet -> change(fleet, pick) }
    }
    return object : Action.Independent<Fleet> {
        override fun transformer(): Arbitrary<Transformer<Fleet>> = transformers
    }
}

private fun <T> List<T>.pick(number: Int): T = this[number % size]

private fun <T> List<T>.pickOrNull(number: Int): T? = if (isEmpty()) null else pick(number)

private const val MAX_SEED = 1_000_000L
