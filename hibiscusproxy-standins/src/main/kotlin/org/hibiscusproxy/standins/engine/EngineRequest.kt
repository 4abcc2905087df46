package org.hibiscusproxy.standins.engine

import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.answers.PromptTokensDetails
import org.hibiscusproxy.standins.answers.Usage
import org.hibiscusproxy.standins.answers.promptOf

/** Where a request stands in its engine. */
enum class RequestState {
    /** Waits for a slot. */
    WAITING,

    /** Holds a slot. */
    RUNNING,

    /** Generated its last token. */
    COMPLETED,

    /** Ended early. */
    CANCELLED,
    ;

    /** Whether nothing will change any more. */
    val isFinal: Boolean get() = this == COMPLETED || this == CANCELLED
}

/**
 * One chat completion in an engine. The engine's thread writes the state; readers on other threads
 * see [produced] and [state] in that order and may read any token below [produced].
 */
class EngineRequest private constructor(
    val requestId: String,
    val priority: Priority,
    val model: String,
    val maximumTokens: Int,
    prompt: String,
) {
    /** The words of the prompt. */
    val tokens: PromptTokens = PromptTokens.of(prompt)

    /** What the engine generates. */
    val answer: Answer = Answer.to(prompt)

    /** Whether the prompt is a poison request. */
    val crashesEngine: Boolean = CRASH_MARKER in prompt

    /** Time of arrival in seconds since the epoch. */
    val created: Long = System.currentTimeMillis() / 1_000

    /** Tokens generated so far. */
    @Volatile
    var produced: Int = 0

    /** Changed after [produced]. */
    @Volatile
    var state: RequestState = RequestState.WAITING

    /** Tokens of the prompt that were cached when the run started. */
    @Volatile
    var cachedTokens: Int = 0

    /** Monotonic time at which the prefill ends. */
    var firstTokenNanoseconds: Long = 0

    /** Readers of the generated tokens. Confined to the engine's thread. */
    val readers: MutableList<TokenListener> = mutableListOf()

    /** Use of tokens so far. */
    fun usage(): Usage = Usage(
        promptTokens = tokens.count,
        completionTokens = produced,
        totalTokens = tokens.count + produced,
        promptTokensDetails = PromptTokensDetails(cachedTokens),
    )

    companion object {
        /** Word in a prompt that crashes each engine that runs it. */
        const val CRASH_MARKER: String = "CRASH-TARGET"

        /** A run of [request], which keeps nothing of the prompt's text. */
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

/** Reads the tokens of an [EngineRequest]. */
fun interface TokenListener {
    /** New tokens were generated or the run ended. Must not block. */
    fun requestChanged()
}
