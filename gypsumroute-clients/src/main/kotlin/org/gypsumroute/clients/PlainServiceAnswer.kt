package org.gypsumroute.clients

/** A plain service's answer, whatever its status. */
class PlainServiceAnswer(val status: Int, val contentType: String?, val body: ByteArray)
