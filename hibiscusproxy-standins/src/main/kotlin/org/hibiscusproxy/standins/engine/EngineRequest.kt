package org.hibiscusproxy.standins.engine

import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.answers.PromptTokensDetails
import org.hibiscusproxy.standins.answers.Usage
import org.hibiscusproxy.standins.answers.promptOf

/** State of a request in its engine. */
enum class RequestState {
    /** Queued until a slot is free. */
    WAITING,

    /** Occupies a slot. */
    RUNNING,

    /** All tokens were generated. */
    COMPLETED,

    /** Cancelled before all tokens were generated. */
    CANCELLED,
    ;

    /** Whether the request has ended. */
    val isFinal: Boolean get() = this == COMPLETED || this == CANCELLED
}

/**
 * A chat completion request in an engine. Only the engine's thread changes it. That thread writes
 * [generated] before [state], and other threads may read any token with an index below [generated].
 */
class EngineRequest private constructor(
    val requestId: String,
    val priority: Priority,
    val model: String,
    val maximumTokens: Int,
    prompt: String,
) {
    /** Tokens of the prompt. */
    val tokens: PromptTokens = PromptTokens.of(prompt)

    /** The answer to generate. */
    val answer: Answer = Answer.to(prompt)

    /** Whether running this request crashes the engine. */
    val crashesEngine: Boolean = CRASH_MARKER in prompt

    /** Time of arrival in seconds since the epoch. */
    val created: Long = System.currentTimeMillis() / 1_000

    /** Number of tokens generated so far. */
    @Volatile
    var generated: Int = 0

    /** Written after [generated]. */
    @Volatile
    var state: RequestState = RequestState.WAITING

    /** Number of prompt tokens that were cached when the request started. */
    @Volatile
    var cachedTokens: Int = 0

    /** Monotonic time at which the prefill ends. */
    var firstTokenNanoseconds: Long = 0

    /** Listeners for generated tokens. Confined to the engine's thread. */
    val listeners: MutableList<TokenListener> = mutableListOf()

    /** Token usage so far. */
    fun usage(): Usage = Usage(
        promptTokens = tokens.count,
        completionTokens = generated,
        totalTokens = tokens.count + generated,
        promptTokensDetails = PromptTokensDetails(cachedTokens),
    )

    companion object {
        /** Text in a prompt that crashes any engine that runs the request. */
        const val CRASH_MARKER: String = "CRASH-TARGET"

        /** Creates a queued request for [request], without retaining the text of the prompt. */
        fun of(requestId: String, request: ChatRequest, priority: Priority): EngineRequest =
            EngineRequest(
                requestId = requestId,
                priority = priority,
                model = request.model,
                maximumTokens = request.maximumTokens,
                prompt = promptOf(request.messages),
            )
    }
}

/** Listener for the progress of an [EngineRequest]. */
fun interface TokenListener {
    /** Called when tokens were generated or the request ended. Must not block. */
    fun requestChanged()
}
