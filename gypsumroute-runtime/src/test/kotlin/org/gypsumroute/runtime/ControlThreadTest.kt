/*
 * The control thread and its timers, in virtual time. The reducer keeps the state and returns the
 * effects that a test sets in `effectsOf`.
 */
package org.gypsumroute.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Policies
import org.gypsumroute.core.Timings

@OptIn(ExperimentalCoroutinesApi::class)
class ControlThreadTest {
    private val processedEvents = ArrayList<Event>()
    private val ready = ArrayList<Boolean>()
    private val exits = LinkedBlockingQueue<Int>()
    private var effectsOf: (Event) -> List<Effect> = { emptyList() }
    private val timer = TimerId.Heartbeat
    private val timerFired = RuntimeEvent.TimerFired(timer)

    private fun TestScope.control(): ControlThread {
        var entropy = 0L
        return ControlThread(
            initial = initialState,
            handlers = EffectHandlers(
                setReady = { ready += it },
                exit = { exits += it },
                platform = { error("broken handler") }
            ),
            timeSource = testTimeSource,
            entropy = { ++entropy },
            timerScope = backgroundScope,
            metrics = NodeMetrics(),
            logger = EventLogger(KotlinLogging.logger("gypsumroute.test"))
        ) { state, event ->
            processedEvents += event
            Step(state, effectsOf(event))
        }
    }

    private fun firingTimes(): List<Long> = processedEvents.zipWithNext()
        .filter { it.second == timerFired }
        .map { (it.first as RuntimeEvent.ClockRead).at.milliseconds }

    @Test
    fun `a clock reading with fresh entropy comes before each event`() = runTest {
        val control = control()
        advanceTimeBy(40.milliseconds)
        control.process(RuntimeEvent.Started)
        advanceTimeBy(2.milliseconds)
        control.process(RuntimeEvent.DrainRequested)
        val expected = listOf<Event>(
            RuntimeEvent.ClockRead(Moment(40), 1),
            RuntimeEvent.Started,
            RuntimeEvent.ClockRead(Moment(42), 2),
            RuntimeEvent.DrainRequested
        )
        assertEquals(expected, processedEvents)
    }

    @Test
    fun `a timer fires once at its time and a replaced one only at the later time`() = runTest {
        val control = control()
        effectsOf = { setTimerOnStart(it, after = 100) }
        control.process(RuntimeEvent.Started)
        advanceTimeBy(60.milliseconds)
        control.process(RuntimeEvent.Started)
        advanceTimeBy(99.milliseconds)
        control.processQueued()
        assertEquals(emptyList<Long>(), firingTimes())
        advanceTimeBy(2.milliseconds)
        control.processQueued()
        advanceTimeBy(1.seconds)
        control.processQueued()
        assertEquals(listOf(161L), firingTimes())
    }

    @Test
    fun `a cancelled timer does not fire`() = runTest {
        val control = control()
        effectsOf = {
            val cancel = RuntimeEffect.CancelTimer(timer)
            if (it == RuntimeEvent.DrainRequested) {
                listOf(cancel)
            } else {
                setTimerOnStart(it, after = 100)
            }
        }
        control.process(RuntimeEvent.Started)
        control.process(RuntimeEvent.DrainRequested)
        advanceTimeBy(1.seconds)
        control.processQueued()
        assertEquals(emptyList<Long>(), firingTimes())
    }

    @Test
    fun `the clock reading before a late timer event gives the actual time`() = runTest {
        val control = control()
        effectsOf = { setTimerOnStart(it, after = 100) }
        control.process(RuntimeEvent.Started)
        advanceTimeBy(30.seconds)
        control.processQueued()
        assertEquals(listOf(30_000L), firingTimes())
    }

    @Test
    fun `a failing reducer leaves the state and a failing handler does not stop other effects`() =
        runTest {
            val control = control()
            effectsOf = { if (it == RuntimeEvent.Started) error("broken reducer") else emptyList() }
            control.process(RuntimeEvent.Started)
            assertTrue(control.state === initialState)
            effectsOf = {
                if (it == RuntimeEvent.DrainRequested) {
                    listOf(PlatformEffect.ReadHosts, RuntimeEffect.SetReady(false))
                } else {
                    emptyList()
                }
            }
            control.process(RuntimeEvent.DrainRequested)
            assertEquals(listOf(false), ready)
        }

    /**
     * If the control thread ended and the process did not, callers would wait until their
     * deadlines.
     */
    @Test
    fun `a JVM error in the reducer ends the process`() = runTest {
        val control = control()
        effectsOf = {
            if (it == RuntimeEvent.DrainRequested) throw NoClassDefFoundError("x") else emptyList()
        }
        control.start()
        control.offer(RuntimeEvent.DrainRequested)
        assertEquals(1, exits.poll(10, TimeUnit.SECONDS))
        control.stop()
    }

    @Test
    fun `the control thread processes all accepted events before it stops`() = runTest {
        val control = control()
        control.start()
        repeat(1000) { control.offer(RuntimeEvent.DrainRequested) }
        control.stop()
        control.offer(RuntimeEvent.DrainRequested)
        assertEquals(RuntimeEvent.Started, processedEvents[1])
        assertEquals(2 * 1001, processedEvents.size)
    }

    private fun setTimerOnStart(event: Event, after: Int): List<Effect> =
        if (event == RuntimeEvent.Started) {
            listOf(RuntimeEffect.SetTimer(timer, after.milliseconds))
        } else {
            emptyList()
        }

    private companion object {
        val initialState = EntryState(
            CommonState(
                node = NodeIdentity(
                    HostId("entry-1"),
                    IncarnationId("entry-1#1"),
                    NodeRole.ENTRY,
                    RegionId("bagmati"),
                    DataCentreId("thamel")
                ),
                timings = Timings(),
                policies = Policies({
                    emptyList()
                }, { null }, { 1.0 }, { null }, { _, _ -> 1.seconds })
            )
        )
    }
}
