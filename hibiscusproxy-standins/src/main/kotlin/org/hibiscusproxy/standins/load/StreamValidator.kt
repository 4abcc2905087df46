package org.hibiscusproxy.standins.load

import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatChunk
import org.hibiscusproxy.standins.answers.Usage

/** Validates the chunks of a streamed answer against the expected answer. */
class StreamValidator(private val expected: Answer, private val expectedTokens: Int) {
    private var tokens = 0
    private var usage: Usage? = null
    private var fault: RequestOutcome? = null

    /** Validates the next chunk; returns whether it contained a token. */
    fun accept(chunk: ChatChunk): Boolean {
        val content = chunk.choices.firstOrNull()?.delta?.content
        usage = chunk.usage ?: usage
        if (content.isNullOrEmpty()) return false
        if (fault == null) fault = faultOf(chunk, content)
        tokens++
        return true
    }

    /** Outcome of a stream that ended with or without the end marker. */
    fun outcome(hasEndMarker: Boolean): RequestOutcome {
        fault?.let { return it }
        val finalUsage = usage
        if (!hasEndMarker) {
            return RequestOutcome.Broken("no end marker after $tokens tokens")
        }
        if (tokens != expectedTokens) {
            return RequestOutcome.Broken("stream ended after $tokens of $expectedTokens tokens")
        }
        if (finalUsage == null) return RequestOutcome.Broken("stream without usage")
        val cachedTokens = finalUsage.promptTokensDetails.cachedTokens
        return RequestOutcome.Complete(finalUsage.promptTokens, cachedTokens)
    }

    /** Outcome of a stream that ended with the failure [detail]. */
    fun outcomeOfFailure(detail: String): RequestOutcome =
        fault ?: RequestOutcome.Broken("stream failed after $tokens tokens: $detail")

    private fun faultOf(chunk: ChatChunk, content: String): RequestOutcome? {
        if (tokens >=
            expectedTokens
        ) {
            return RequestOutcome.Wrong("stream has more than $expectedTokens tokens")
        }
        val expectedContent = expected.streamedTokenAt(tokens)
        if (content == expectedContent && chunk.tokenIndex == tokens) return null
        return RequestOutcome.Wrong(
            "token $tokens has index ${chunk.tokenIndex}, text '$content' instead of " +
                "'$expectedContent'",
        )
    }
}
