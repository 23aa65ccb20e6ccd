/*
 * The JSON body of a completion request in the format of OpenAI's clients. Unknown fields are
 * ignored.
 */
package org.gypsumroute.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.Tokens

@Serializable
internal class CompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val outputLimit: Long? = null,
    val stream: Boolean = false
)

/** Decodes the body; the left side tells the caller what is wrong with it. */
internal fun decodeCompletion(body: ByteArray): Either<String, CompletionRequest> = try {
    val request = json.decodeFromString<CompletionRequest>(
        body.decodeToString(throwOnInvalidSequence = true)
    )
    if (request.prompt.isEmpty()) "prompt: must not be empty".left() else request.right()
} catch (malformed: SerializationException) {
    malformed.message.orEmpty().lineSequence().first().left()
} catch (_: CharacterCodingException) {
    "body: not valid UTF-8".left()
}

/** Estimates the tokens of a prompt as its UTF-8 bytes divided by four, rounded up. */
internal fun estimateTokens(prompt: ByteArray): Tokens =
    Tokens((prompt.size + BYTES_PER_TOKEN - 1L) / BYTES_PER_TOKEN)

/**
 * Digest of the first [PREFIX_BYTES] bytes. Prompts with a common beginning get the same digest, by
 * which they are placed where that beginning is cached.
 */
internal fun prefixDigest(prompt: ByteArray): PrefixDigest {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(prompt, 0, minOf(prompt.size, PREFIX_BYTES))
    return PrefixDigest(ByteBuffer.wrap(digest.digest()).getLong())
}

private val json = Json { ignoreUnknownKeys = true }
private const val BYTES_PER_TOKEN = 4
private const val PREFIX_BYTES = 4096
