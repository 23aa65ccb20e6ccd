package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Published speed and size of a service's engines.
 *
 * An engine works in passes. A step takes [step], and for each request that is writing
 * [stepPerWriter] and [stepPerThousandContext] for each 1,000 tokens of its context; a pass with
 * writers runs [stepsPerPass] steps and a stream event holds as many tokens. Reading takes
 * [readPerToken] a token and [readPerMillionPairs] for each million pairs of a token with an
 * earlier one, at most [chunk] tokens a step.
 */
data class EngineFigures(
    val slots: Int,
    val memory: Tokens,
    val step: Duration,
    val stepPerWriter: Duration,
    val stepPerThousandContext: Duration,
    val readPerToken: Duration,
    val readPerMillionPairs: Duration,
    val chunk: Int,
    val stepsPerPass: Int,
    val usualAnswer: Tokens
)
