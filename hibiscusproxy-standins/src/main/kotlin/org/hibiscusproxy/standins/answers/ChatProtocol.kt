package org.hibiscusproxy.standins.answers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Message of a conversation. */
@Serializable
data class ChatMessage(val role: String, val content: String)

/** Body of a chat completion request, compatible with the OpenAI API. */
@Serializable
data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maximumTokens: Int = DEFAULT_ANSWER_TOKENS,
    val stream: Boolean = false,
) {
    companion object {
        /** Default of [maximumTokens]. */
        const val DEFAULT_ANSWER_TOKENS: Int = 32
    }
}

/** Breakdown of the prompt tokens in [Usage]. */
@Serializable
data class PromptTokensDetails(@SerialName("cached_tokens") val cachedTokens: Int)

/** Token usage of a request. */
@Serializable
data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val promptTokensDetails: PromptTokensDetails,
)

/** The only choice of a non-streamed response. */
@Serializable
data class Choice(
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
    val index: Int = 0,
)

/** A non-streamed response. `system_fingerprint` contains the name of the engine. */
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

/** Increment of the answer in a streamed chunk. */
@Serializable
data class Delta(val role: String? = null, val content: String? = null)

/** The only choice of a streamed chunk. */
@Serializable
data class ChunkChoice(
    val delta: Delta,
    @SerialName("finish_reason") val finishReason: String? = null,
    val index: Int = 0,
)

/**
 * Chunk of a streamed response.
 *
 * @property sentAt time of sending, in microseconds since the epoch
 * @property tokenIndex zero-based index of the token in the answer
 * @property usage token usage; present only in the last chunk
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

/** Details of an error response. */
@Serializable
data class ErrorDetails(val type: String, val message: String, val requestId: String? = null)

/** Body of an error response. */
@Serializable
data class ErrorBody(val error: ErrorDetails)

/** JSON format of all stand-ins: default values are encoded, null values are omitted. */
val standInJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
    ignoreUnknownKeys = true
}

/** Renders [messages] as the prompt for the engine, ending with the start of the assistant turn. */
fun promptOf(messages: List<ChatMessage>): String = buildString {
    messages.forEach { append(it.role).append(": ").append(it.content).append('\n') }
    append("assistant:")
}
