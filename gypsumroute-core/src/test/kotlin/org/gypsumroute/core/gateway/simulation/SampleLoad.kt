package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration.Companion.milliseconds

/** Sample load of a restaurant menu service: many short prompts and few very long ones. */
internal object SampleLoad {
    val kinds = listOf(
        RequestKind(
            "short", 24.6, 4960.0, 0.9, 23_800.0, 34.9, 0.7,
            300.milliseconds, 200.milliseconds, 10_000.milliseconds, 1.3, 0.33
        ),
        RequestKind(
            "middle", 1.79, 45_000.0, 0.5, 110_000.0, 20.9, 0.6,
            1500.milliseconds, 500.milliseconds, 10_000.milliseconds, 3.1, 0.79
        ),
        RequestKind(
            "long", 0.743, 210_000.0, 0.55, 1_000_000.0, 17.4, 0.5,
            3000.milliseconds, 800.milliseconds, 15_000.milliseconds, 22.0, 5.4
        )
    )
    val longPhase = LoadPhase(9500.0, mapOf("short" to 0.32, "middle" to 1.3, "long" to 2.7))
    val shortPhase = LoadPhase(9500.0, mapOf("short" to 2.4, "middle" to 0.5, "long" to 0.05))
    val normalPhase = LoadPhase(2000.0, emptyMap())
    val phases = listOf(normalPhase, longPhase, shortPhase, longPhase)
}
