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
 * Sends a chat about each of three manuals, a follow-up question of each chat through another
 * entry, and one booking twice with the same idempotency key. Prints each answer and compares it
 * with the expected one.
 */
class Demonstration(
    private val entries: List<String>,
    private val model: String,
    private val bookingService: String,
) {
    private class CheckedAnswer(
        val request: String,
        val target: String,
        val note: String,
        val isCorrect: Boolean,
    )

    private val client = OkHttpClient.Builder().callTimeout(60, TimeUnit.SECONDS).build()
    private val checkedAnswers = ArrayList<CheckedAnswer>()

    /** Sends all requests, prints the summary and returns whether each answer was correct. */
    fun run(): Boolean {
        for (manual in 1..MANUALS) chatAbout(manual)
        book()
        printSummary()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
        return checkedAnswers.all { it.isCorrect }
    }

    private fun chatAbout(manual: Int) {
        val messages = mutableListOf(ChatMessage("system", manualText(manual)))
        messages += ChatMessage("user", "The kettle of manual $manual does not boil. Why?")
        val first = askWithoutStreaming(messages, entries[manual % entries.size])
        messages += ChatMessage("assistant", first)
        messages += ChatMessage("user", "I cleaned the contacts. What next?")
        askStreaming(messages, entries[(manual + 1) % entries.size])
    }

    private fun askWithoutStreaming(messages: List<ChatMessage>, entry: String): String {
        val expected = Answer.to(promptOf(messages)).text(ANSWER_TOKENS)
        client.newCall(chat(messages, entry, isStream = false)).execute().use { response ->
            val body = response.body.string()
            val answer = decode<ChatResponse>(response, body)
            val content = answer?.choices?.firstOrNull()?.message?.content
            val cached = answer?.usage?.promptTokensDetails?.cachedTokens ?: 0
            val prompt = answer?.usage?.promptTokens ?: 0
            println("non-streaming chat through $entry:\n  ${content ?: body}")
            record("first question", response, "$cached of $prompt cached", content == expected)
            return content.orEmpty()
        }
    }

    private fun askStreaming(messages: List<ChatMessage>, entry: String) {
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
            println("streaming chat in ${chunks.size} chunks through $entry:\n  $content")
            val isCorrect = isComplete && content == expected
            val note = "$cached of ${usage?.promptTokens ?: 0} cached"
            record("follow-up question", response, note, isCorrect && cached > 0)
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
                val isCorrect = answer?.bodySha256 == body.sha256() && answer.idempotencyKey == key
                record("booking", response, "number ${answer?.bookingNumber}", isCorrect)
                answer
            }
        }
        val isSameAnswer = answers.distinct().size == 1 && answers.first() != null
        val note = "same answer: $isSameAnswer"
        checkedAnswers += CheckedAnswer("booking, resent", "", note, isSameAnswer)
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

    private fun record(request: String, response: Response, note: String, isCorrect: Boolean) {
        val target = response.header("X-Hibiscus-Target").orEmpty()
        checkedAnswers += CheckedAnswer(request, target, "${response.code}, $note", isCorrect)
    }

    private fun printSummary() {
        println("\nrequest             target            answer                          correct")
        for (answer in checkedAnswers) {
            val columns = listOf(
                answer.request.padEnd(REQUEST_WIDTH),
                answer.target.padEnd(TARGET_WIDTH),
                answer.note.padEnd(NOTE_WIDTH),
                if (answer.isCorrect) "yes" else "NO",
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
        const val REQUEST_WIDTH = 19
        const val TARGET_WIDTH = 17
        const val NOTE_WIDTH = 31
        val JSON = "application/json".toMediaType()
    }
}
