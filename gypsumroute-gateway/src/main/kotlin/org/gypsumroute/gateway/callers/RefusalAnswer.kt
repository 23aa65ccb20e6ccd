/*
 * Headers and body of error responses that the gateway itself sends.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.DurationUnit
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.gypsumroute.api.Failure

internal fun refusalHeaders(failure: Failure): HttpHeaders {
    val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    headers[HttpHeaderNames.CONTENT_TYPE] = "application/json"
    failure.retryAfter?.let {
        headers[HttpHeaderNames.RETRY_AFTER] = it.toDouble(DurationUnit.SECONDS).toString()
    }
    return headers
}

internal fun refusalBody(failure: Failure): ByteBuf {
    val text = buildJsonObject {
        put("error", failure.kind.code)
        put("detail", failure.detail)
        put("run", failure.runState.code)
        put("retry", failure.kind.retry.code)
    }.toString()
    return Unpooled.copiedBuffer(text, Charsets.UTF_8)
}
