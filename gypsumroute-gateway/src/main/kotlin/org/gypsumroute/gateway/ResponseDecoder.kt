package org.gypsumroute.gateway

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses of endpoints. A response to a HEAD request has no body even if its headers name
 * a length.
 */
internal class ResponseDecoder(private val connection: EndpointConnection) : HttpResponseDecoder() {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.nextResponseIsBodiless || super.isContentAlwaysEmpty(message)
}
