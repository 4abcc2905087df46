package org.hibiscusproxy.standins.demonstration

import java.util.concurrent.TimeUnit
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatChunk
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.answers.ChatResponse
import org.hibiscusproxy.standins.answers.promptOf
import org.hibiscusproxy.standins.answers.sha256
import org.hibiscusproxy.standins.answers.standInJson
import org.hibiscusproxy.standins.service.ServiceAnswer

/**
 * Chats about three manuals, a second question in each chat through another entry, and a booking
 * that is sent twice. Every answer is compared with the only right one and printed.
 */
class Demonstration(
    private val entries: List<String>,
    private val model: String,
    private val bookingService: String,
) {
    private class Landing(
        val what: String,
        val target: String,
        val note: String,
        val right: Boolean,
    )

    private val client = OkHttpClient.Builder().callTimeout(60, TimeUnit.SECONDS).build()
    private val landings = ArrayList<Landing>()

    /** Runs everything, prints the summary and tells whether each answer was right. */
    fun run(): Boolean {
        for (manual in 1..MANUALS) converse(manual)
        book()
        printSummary()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
        return landings.all { it.right }
    }

    private fun converse(manual: Int) {
        val messages = mutableListOf(ChatMessage("system", manualText(manual)))
        messages += ChatMessage("user", "The kettle of manual $manual does not boil. Why?")
        val first = askWhole(messages, entries[manual % entries.size])
        messages += ChatMessage("assistant", first)
        messages += ChatMessage("user", "I cleaned the contacts. What next?")
        askStream(messages, entries[(manual + 1) % entries.size])
    }

    private fun askWhole(messages: List<ChatMessage>, entry: String): String {
        val expected = Answer.to(promptOf(messages)).text(ANSWER_TOKENS)
        client.newCall(chat(messages, entry, isStream = false)).execute().use { response ->
            val body = response.body.string()
            val answer = decode<ChatResponse>(response, body)
            val content = answer?.choices?.firstOrNull()?.message?.content
            val cached = answer?.usage?.promptTokensDetails?.cachedTokens ?: 0
            val prompt = answer?.usage?.promptTokens ?: 0
            println("chat, whole, through $entry:\n  ${content ?: body}")
            land("first question", response, "$cached of $prompt cached", content == expected)
            return content.orEmpty()
        }
    }

    private fun askStream(messages: List<ChatMessage>, entry: String) {
        val expected = Answer.to(promptOf(messages)).text(ANSWER_TOKENS)
        client.newCall(chat(messages, entry, isStream = true)).execute().use { response ->
            val lines = response.body.string().lines().filter { it.startsWith(DATA) }
            val isComplete = lines.lastOrNull()?.removePrefix(DATA)?.trim() == "[DONE]"
            val chunks = lines.dropLast(1).mapNotNull { line ->
                decode<ChatChunk>(response, line.removePrefix(DATA).trim())
            }
            val content = chunks.joinToString("") { it.choices.first().delta.content.orEmpty() }
            val usage = chunks.lastOrNull()?.usage
            val cached = usage?.promptTokensDetails?.cachedTokens ?: 0
            println("chat, streamed in ${chunks.size} chunks, through $entry:\n  $content")
            val isRight = isComplete && content == expected
            val note = "$cached of ${usage?.promptTokens ?: 0} cached"
            land("returning question", response, note, isRight && cached > 0)
        }
    }

    private fun book() {
        val key = "demonstration-${System.currentTimeMillis()}"
        val body = """{"slot": "09:30", "item": "kettle"}""".encodeToByteArray()
        val answers = entries.take(2).map { entry ->
            val request = Request.Builder()
                .url("$entry/services/$bookingService/bookings")
                .header("X-Team", TEAM)
                .header("Idempotency-Key", key)
                .post(body.toRequestBody(JSON))
                .build()
            client.newCall(request).execute().use { response ->
                val text = response.body.string()
                println("booking through $entry:\n  $text")
                val answer = decode<ServiceAnswer>(response, text)
                val isRight = answer?.bodySha256 == body.sha256() && answer.idempotencyKey == key
                land("booking", response, "number ${answer?.bookingNumber}", isRight)
                answer
            }
        }
        val isOnce = answers.distinct().size == 1 && answers.first() != null
        landings += Landing("booking, resent", "", "the same answer again: $isOnce", isOnce)
    }

    private fun chat(messages: List<ChatMessage>, entry: String, isStream: Boolean): Request {
        val body = ChatRequest(model, messages, ANSWER_TOKENS, isStream)
        return Request.Builder()
            .url("$entry/v1/chat/completions")
            .header("X-Team", TEAM)
            .post(standInJson.encodeToString(ChatRequest.serializer(), body).toRequestBody(JSON))
            .build()
    }

    private inline fun <reified T> decode(response: Response, text: String): T? =
        if (response.isSuccessful) {
            runCatching { standInJson.decodeFromString<T>(text) }.getOrNull()
        } else {
            null
        }

    private fun land(what: String, response: Response, note: String, right: Boolean) {
        val target = response.header("X-Hibiscus-Target").orEmpty()
        landings += Landing(what, target, "${response.code}, $note", right)
    }

    private fun printSummary() {
        println("\nwhat                target            answer                          right")
        for (landing in landings) {
            val columns = listOf(
                landing.what.padEnd(WHAT_WIDTH),
                landing.target.padEnd(TARGET_WIDTH),
                landing.note.padEnd(NOTE_WIDTH),
                if (landing.right) "yes" else "NO",
            )
            println(columns.joinToString(" "))
        }
    }

    private fun manualText(manual: Int): String =
        (1..MANUAL_WORDS).joinToString(" ", prefix = "Manual $manual: ") { "step-$manual-$it" }

    private companion object {
        const val MANUALS = 3
        const val MANUAL_WORDS = 800
        const val ANSWER_TOKENS = 12
        const val TEAM = "team-1"
        const val DATA = "data:"
        const val WHAT_WIDTH = 19
        const val TARGET_WIDTH = 17
        const val NOTE_WIDTH = 31
        val JSON = "application/json".toMediaType()
    }
}
