package org.gypsumroute.gateway

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers; those to HEAD requests have no body whatever their headers say. */
internal class AnswerDecoder(private val connection: EndpointConnection) : HttpResponseDecoder() {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.awaitsBodilessAnswer || super.isContentAlwaysEmpty(message)
}
