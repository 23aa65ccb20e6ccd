package org.gypsumroute.test

import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.net.URLEncoder
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext

/** Looks up handles that other engines hold. */
internal object EngineImports {
    private const val TIMEOUT_MILLISECONDS = 1000

    /**
     * Whether the engine named in [imported] still holds the handle; false if it is unreachable.
     */
    suspend fun exists(imported: ImportedHandle): Boolean = withContext(Dispatchers.IO) {
        val id = URLEncoder.encode(imported.handle, Charsets.UTF_8)
        try {
            val url = URI("http://${imported.engine}/handles?id=$id").toURL()
            val connection = url.openConnection() as HttpURLConnection
            connection.connectTimeout = TIMEOUT_MILLISECONDS
            connection.readTimeout = TIMEOUT_MILLISECONDS
            try {
                connection.responseCode == HttpURLConnection.HTTP_OK
            } finally {
                connection.disconnect()
            }
        } catch (_: IOException) {
            false
        }
    }
}
