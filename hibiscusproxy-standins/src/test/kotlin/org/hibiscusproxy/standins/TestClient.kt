package org.hibiscusproxy.standins

import java.util.concurrent.TimeUnit
import kotlinx.serialization.encodeToString
import okhttp3.Call
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.answers.ChatChunk
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.answers.standInJson

/** Loopback address with port 0, for which the operating system assigns a free port. */
val anyPort: NetworkAddress = NetworkAddress("127.0.0.1", 0)

/** Status and body of a response. */
data class Reply(val status: Int, val body: String) {
    /** Decodes the body from JSON. */
    inline fun <reified T> json(): T = standInJson.decodeFromString<T>(body)

    /** Chunks of a streamed answer. */
    val chunks: List<ChatChunk>
        get() = events.filter { it.startsWith("{") }.map { standInJson.decodeFromString(it) }

    /** Data of all server-sent events. */
    val events: List<String>
        get() = body.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }
}

/** HTTP client for tests that does not retry failed connections. */
class TestClient(private val address: NetworkAddress) {
    /** Sends a request and reads the whole response. */
    fun send(
        method: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): Reply = call(method, path, body, headers).execute().use { Reply(it.code, it.body.string()) }

    /** Sends a chat request with one message. */
    fun chat(
        prompt: String,
        tokens: Int = 4,
        stream: Boolean = false,
        id: String? = null,
        priority: String? = null,
    ): Reply = chatCall(prompt, tokens, stream, id, priority).execute()
        .use { Reply(it.code, it.body.string()) }

    /** Creates a call of [chat], which can be cancelled. */
    fun chatCall(
        prompt: String,
        tokens: Int = 4,
        stream: Boolean = false,
        id: String? = null,
        priority: String? = null,
    ): Call {
        val chat = ChatRequest("m", listOf(ChatMessage("user", prompt)), tokens, stream)
        val headers = listOfNotNull(
            id?.let { "X-Request-Id" to it },
            priority?.let { "X-Priority" to it },
        ).toMap()
        return call("POST", "/v1/chat/completions", standInJson.encodeToString(chat), headers)
    }

    private fun call(
        method: String,
        path: String,
        body: String?,
        headers: Map<String, String>,
    ): Call {
        val request = Request.Builder().url("http://$address$path").method(
            method,
            body?.toRequestBody() ?: "".toRequestBody().takeIf { method != "GET" },
        )
        headers.forEach(request::header)
        return client.newCall(request.build())
    }

    private companion object {
        val client: OkHttpClient = OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(10, TimeUnit.SECONDS)
            .build()
    }
}
