package org.hibiscusproxy.standins.answers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** One message of a conversation. */
@Serializable
data class ChatMessage(val role: String, val content: String)

/** Body of a chat completion request, in the form of OpenAI's chat completions. */
@Serializable
data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maximumTokens: Int = DEFAULT_ANSWER_TOKENS,
    val stream: Boolean = false,
) {
    companion object {
        /** Length of an answer whose request names none. */
        const val DEFAULT_ANSWER_TOKENS: Int = 32
    }
}

/** Part of [Usage] about the prompt. */
@Serializable
data class PromptTokensDetails(@SerialName("cached_tokens") val cachedTokens: Int)

/** Tokens that a request used. */
@Serializable
data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val promptTokensDetails: PromptTokensDetails,
)

/** The single choice of a whole answer. */
@Serializable
data class Choice(
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
    val index: Int = 0,
)

/** A whole answer. `system_fingerprint` names the engine. */
@Serializable
data class ChatResponse(
    val id: String,
    val created: Long,
    val model: String,
    @SerialName("system_fingerprint") val engine: String,
    val choices: List<Choice>,
    val usage: Usage,
    @SerialName("object") val kind: String = "chat.completion",
)

/** What a streamed chunk adds to the answer. */
@Serializable
data class Delta(val role: String? = null, val content: String? = null)

/** The single choice of a streamed chunk. */
@Serializable
data class ChunkChoice(
    val delta: Delta,
    @SerialName("finish_reason") val finishReason: String? = null,
    val index: Int = 0,
)

/**
 * One chunk of a streamed answer.
 *
 * @property sentAt time of sending in microseconds since the epoch
 * @property tokenIndex number of the token in the answer, counted from 0
 * @property usage present in the last chunk only
 */
@Serializable
data class ChatChunk(
    val id: String,
    val created: Long,
    val model: String,
    @SerialName("system_fingerprint") val engine: String,
    val choices: List<ChunkChoice>,
    @SerialName("sent_at") val sentAt: Long,
    @SerialName("token_index") val tokenIndex: Int,
    val usage: Usage? = null,
    @SerialName("object") val kind: String = "chat.completion.chunk",
)

/** Content of [ErrorBody]. */
@Serializable
data class ErrorDetails(val type: String, val message: String, val requestId: String? = null)

/** Body of every failure. */
@Serializable
data class ErrorBody(val error: ErrorDetails)

/** JSON form of all stand-ins: defaults are written, absent values are left out. */
val standInJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
    ignoreUnknownKeys = true
}

/** Text that the engine reads for [messages], which ends where the answer begins. */
fun promptOf(messages: List<ChatMessage>): String = buildString {
    messages.forEach { append(it.role).append(": ").append(it.content).append('\n') }
    append("assistant:")
}
