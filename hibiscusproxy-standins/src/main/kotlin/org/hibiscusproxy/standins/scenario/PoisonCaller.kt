package org.hibiscusproxy.standins.scenario

import java.io.IOException
import java.util.concurrent.TimeUnit
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.hibiscusproxy.standins.answers.ErrorBody
import org.hibiscusproxy.standins.answers.standInJson
import org.hibiscusproxy.standins.deployment.Deployment
import org.hibiscusproxy.standins.engine.EngineRequest

/** A caller who sends the same request, which crashes each engine that runs it, again and again. */
internal class PoisonCaller(private val deployment: Deployment) {
    private val client = OkHttpClient.Builder()
        .callTimeout(CALL_SECONDS, TimeUnit.SECONDS)
        .retryOnConnectionFailure(false)
        .build()

    /**
     * What the caller was told.
     *
     * @property refused identifier of the request when it was refused as not run
     */
    data class Told(val text: String, val refused: String?)

    /** Sends the request [count] times, through the entries in turn. */
    fun send(count: Int): List<Told> = List(count) { index ->
        val entry = deployment.entryAddresses[index % deployment.entryAddresses.size]
        val body = """{"model": "${deployment.model}", "max_tokens": 16, "stream": true,
            "messages": [{"role": "user", "content": "${EngineRequest.CRASH_MARKER} now"}]}"""
        val request = Request.Builder()
            .url("http://$entry/v1/chat/completions")
            .header("X-Team", deployment.teams.first().name.value)
            .post(body.toRequestBody("application/json".toMediaType()))
            .build()
        try {
            client.newCall(request).execute().use { response ->
                val outcome = response.header("X-Hibiscus-Outcome")
                val text = response.body.string()
                val refused = if (outcome == "not-run") errorOf(text).requestId else null
                Told("${response.code} $outcome ${text.take(SHOWN_CHARACTERS)}", refused)
            }
        } catch (failure: IOException) {
            Told(failure.toString(), refused = null)
        }
    }

    private fun errorOf(text: String) = standInJson.decodeFromString<ErrorBody>(text).error

    private companion object {
        const val CALL_SECONDS = 30L
        const val SHOWN_CHARACTERS = 80
    }
}
