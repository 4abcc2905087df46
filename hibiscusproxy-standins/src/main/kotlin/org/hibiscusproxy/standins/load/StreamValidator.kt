package org.hibiscusproxy.standins.load

import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatChunk
import org.hibiscusproxy.standins.answers.Usage

/** Compares a streamed answer, chunk by chunk, with the one that is correct. */
class StreamValidator(private val expected: Answer, private val expectedTokens: Int) {
    private var tokens = 0
    private var usage: Usage? = null
    private var fault: RequestOutcome? = null

    /** Takes the next chunk; true when it carried a token. */
    fun accept(chunk: ChatChunk): Boolean {
        val content = chunk.choices.firstOrNull()?.delta?.content
        usage = chunk.usage ?: usage
        if (content.isNullOrEmpty()) return false
        if (fault == null) fault = faultOf(chunk, content)
        tokens++
        return true
    }

    /** The outcome when the stream ended, with or without its end marker. */
    fun outcome(hasEndMarker: Boolean): RequestOutcome {
        fault?.let { return it }
        val use = usage
        if (!hasEndMarker) return RequestOutcome.Broken("ended after $tokens tokens")
        if (tokens != expectedTokens) {
            return RequestOutcome.Broken("$tokens of $expectedTokens tokens")
        }
        if (use == null) return RequestOutcome.Broken("no usage")
        return RequestOutcome.Complete(use.promptTokens, use.promptTokensDetails.cachedTokens)
    }

    /** The outcome when the stream ended with a failure described by [detail]. */
    fun failed(detail: String): RequestOutcome =
        fault ?: RequestOutcome.Broken("after $tokens tokens: $detail")

    private fun faultOf(chunk: ChatChunk, content: String): RequestOutcome? {
        if (tokens >=
            expectedTokens
        ) {
            return RequestOutcome.Wrong("more than $expectedTokens tokens")
        }
        val wanted = expected.streamedTokenAt(tokens)
        if (content == wanted && chunk.tokenIndex == tokens) return null
        return RequestOutcome.Wrong(
            "token $tokens is number ${chunk.tokenIndex}, '$content' instead of '$wanted'",
        )
    }
}
