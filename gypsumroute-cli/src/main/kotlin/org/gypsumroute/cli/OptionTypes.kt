/*
 * Converters of option values, whose error texts name the accepted values.
 */
package org.gypsumroute.cli

import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.OptionWithValues
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.net.URI
import java.net.URISyntaxException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The name of a host, region, data centre or pool. */
internal fun RawOption.name(): NullableOption<String, String> = convert { text ->
    text.takeIf(namePattern::matches)
        ?: fail("$text: accepted are 1 to 64 of the characters a-z A-Z 0-9 . _ -")
}

/** A base URL of the form `http://address:port`. */
internal fun RawOption.url(): NullableOption<String, String> = convert { text ->
    baseUrl(text) ?: fail("$text: accepted is http://address:port")
}

/** Returns [text] without trailing slashes if it is a base URL, else null. */
internal fun baseUrl(text: String): String? = text.trimEnd('/').takeIf(::isBaseUrl)

internal fun RawOption.port(): NullableOption<Int, Int> = int().restrictTo(0..MAX_PORT)

/** A duration in seconds from 1 ms to one day, with an optional fraction. */
internal fun RawOption.seconds(default: Duration): OptionWithValues<Duration, Duration, Duration> =
    convert(metavar = "seconds") { text ->
        text.toDoubleOrNull()?.takeIf { it in MIN_SECONDS..MAX_SECONDS }?.seconds
            ?: fail("$text: accepted are $MIN_SECONDS to ${MAX_SECONDS.toInt()} seconds")
    }.default(default, defaultForHelp = default.toDouble(DurationUnit.SECONDS).toString())

private fun isBaseUrl(text: String): Boolean = try {
    val uri = URI(text)
    uri.scheme == "http" && uri.host != null && uri.port > 0 && uri.rawPath.isNullOrEmpty()
} catch (_: URISyntaxException) {
    false
}

private val namePattern = Regex("[a-zA-Z0-9._-]{1,64}")
private const val MAX_PORT = 65_535
private const val MIN_SECONDS = 0.001
private const val MAX_SECONDS = 86_400.0
