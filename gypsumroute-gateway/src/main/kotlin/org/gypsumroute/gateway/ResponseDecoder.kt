package org.gypsumroute.gateway

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers; those to HEAD requests have no body whatever their headers say. */
internal class ResponseDecoder(private val connection: EndpointConnection) : HttpResponseDecoder() {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.expectsBodilessResponse || super.isContentAlwaysEmpty(message)
}
