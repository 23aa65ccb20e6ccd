package org.gypsumroute.clients

/** The response of a plain service, whether its status means success or failure. */
class PlainServiceResponse(val status: Int, val contentType: String?, val body: ByteArray)
