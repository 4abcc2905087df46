package org.hibiscusproxy.standins.engine

import org.hibiscusproxy.standins.answers.Answer

/**
 * A tokenized prompt for the prefix cache. Tokens are words, grouped into blocks of [BLOCK_TOKENS].
 * A block is identified by a hash of its tokens and all tokens before it.
 *
 * @property count number of tokens
 * @property blocks hashes of the complete blocks, in order
 */
class PromptTokens private constructor(
    val count: Int,
    val blocks: LongArray,
    private val hash: Long,
) {
    /** These tokens followed by the first [tokens] tokens of [answer]. */
    fun followedBy(answer: Answer, tokens: Int): PromptTokens {
        val builder = Builder(this)
        repeat(tokens) { builder.add(answer.tokenAt(it)) }
        return builder.build()
    }

    private class Builder(start: PromptTokens) {
        private var count = start.count
        private var hash = start.hash
        private var blocks = start.blocks.copyOf(start.blocks.size + 64)
        private var used = start.blocks.size

        fun add(text: CharSequence, from: Int = 0, until: Int = text.length) {
            for (index in from until until) hash = (hash xor text[index].code.toLong()) * HASH_PRIME
            hash = (hash xor SEPARATOR) * HASH_PRIME
            count++
            if (count % BLOCK_TOKENS == 0) addBlock()
        }

        private fun addBlock() {
            if (used == blocks.size) blocks = blocks.copyOf(used * 2)
            blocks[used++] = hash xor (hash ushr 29)
        }

        fun build() = PromptTokens(count, blocks.copyOf(used), hash)
    }

    companion object {
        /** Number of tokens in a cache block. */
        const val BLOCK_TOKENS: Int = 16

        private const val HASH_PRIME = 1_099_511_628_211L
        private const val HASH_OFFSET = -3_750_763_034_362_895_579L
        private const val SEPARATOR = 32L
        private val EMPTY = PromptTokens(0, LongArray(0), HASH_OFFSET)

        /** Tokenizes [text] at whitespace. */
        fun of(text: String): PromptTokens {
            val builder = Builder(EMPTY)
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
