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

/** Repeatedly sends one poison request, which crashes each engine that runs it. */
internal class PoisonCaller(private val deployment: Deployment) {
    private val client = OkHttpClient.Builder()
        .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .retryOnConnectionFailure(false)
        .build()

    /**
     * Reply to one request.
     *
     * @property text status, outcome and start of the body, or the failure of the call
     * @property refusedRequest identifier of the request when it was refused as not run
     */
    data class Reply(val text: String, val refusedRequest: String?)

    /** Sends the request [count] times, rotating through the entries. */
    fun send(count: Int): List<Reply> = List(count) { index ->
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
                Reply("${response.code} $outcome ${text.take(MAXIMUM_BODY_CHARACTERS)}", refused)
            }
        } catch (failure: IOException) {
            Reply(failure.toString(), refusedRequest = null)
        }
    }

    private fun errorOf(text: String) = standInJson.decodeFromString<ErrorBody>(text).error

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 30L
        const val MAXIMUM_BODY_CHARACTERS = 80
    }
}
