package org.hibiscusproxy.standins.engine

import org.hibiscusproxy.standins.answers.Answer

/**
 * A prompt as the prefix cache sees it: words in blocks of [BLOCK_TOKENS], each block named by a
 * hash over itself and all blocks before it.
 *
 * @property count words of the prompt
 * @property blocks names of the full blocks, in order
 */
class PromptTokens private constructor(
    val count: Int,
    val blocks: LongArray,
    private val chain: Long,
) {
    /** These tokens followed by the first [tokens] tokens of [answer]. */
    fun followedBy(answer: Answer, tokens: Int): PromptTokens {
        val builder = Builder(this)
        repeat(tokens) { builder.add(answer.tokenAt(it)) }
        return builder.build()
    }

    private class Builder(start: PromptTokens) {
        private var count = start.count
        private var chain = start.chain
        private var blocks = start.blocks.copyOf(start.blocks.size + 64)
        private var used = start.blocks.size

        fun add(text: CharSequence, from: Int = 0, until: Int = text.length) {
            for (index in from until until) chain = (chain xor text[index].code.toLong()) * FACTOR
            chain = (chain xor SEPARATOR) * FACTOR
            count++
            if (count % BLOCK_TOKENS == 0) closeBlock()
        }

        private fun closeBlock() {
            if (used == blocks.size) blocks = blocks.copyOf(used * 2)
            blocks[used++] = chain xor (chain ushr 29)
        }

        fun build() = PromptTokens(count, blocks.copyOf(used), chain)
    }

    companion object {
        /** Tokens of one cache block. */
        const val BLOCK_TOKENS: Int = 16

        private const val FACTOR = 1_099_511_628_211L
        private const val START = -3_750_763_034_362_895_579L
        private const val SEPARATOR = 32L
        private val NONE = PromptTokens(0, LongArray(0), START)

        /** Splits [text] at white space. */
        fun of(text: String): PromptTokens {
            val builder = Builder(NONE)
            var start = -1
            for (index in text.indices) {
                val isSpace = text[index].isWhitespace()
                if (!isSpace && start < 0) start = index
                if (isSpace && start >= 0) {
                    builder.add(text, start, index)
                    start = -1
                }
            }
            if (start >= 0) builder.add(text, start)
            return builder.build()
        }
    }
}
