package org.gypsumroute.process

import java.net.URI

/** Returns `address:port` of a URL of the form `http://address:port`. */
fun addressOf(url: String): String = URI(url).authority
