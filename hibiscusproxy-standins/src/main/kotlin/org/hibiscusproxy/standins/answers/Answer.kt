package org.hibiscusproxy.standins.answers

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The expected answer to a prompt. Token 0 is the SHA-256 of the prompt in hexadecimal. The others
 * are pseudo-random words seeded by it, so a client can compute each token independently.
 */
class Answer private constructor(private val digest: ByteArray) {
    private val seed: Long = ByteBuffer.wrap(digest).long

    /** The token at [index], without surrounding spaces. */
    fun tokenAt(index: Int): String {
        if (index == 0) return digest.toHexadecimal()
        val bits = mix(seed + index * SEED_INCREMENT)
        val first = SYLLABLES[(bits and SYLLABLE_MASK).toInt()]
        val second = SYLLABLES[(bits shr SYLLABLE_BITS and SYLLABLE_MASK).toInt()]
        val third = SYLLABLES[(bits shr (2 * SYLLABLE_BITS) and SYLLABLE_MASK).toInt()]
        return first + second + third
    }

    /** The token at [index] as streamed; all but the first token start with a space. */
    fun streamedTokenAt(index: Int): String = if (index == 0) tokenAt(0) else " ${tokenAt(index)}"

    /** The text of the first [tokens] tokens. */
    fun text(tokens: Int): String = (0 until tokens).joinToString(" ") { tokenAt(it) }

    companion object {
        private const val SYLLABLE_BITS = 5
        private const val SYLLABLE_MASK = 31L
        private const val SEED_INCREMENT = -7046029254386353131L
        private const val FIRST_MULTIPLIER = -4658895280553007687L
        private const val SECOND_MULTIPLIER = -7723592293110705685L
        private val SYLLABLES: List<String> =
            listOf("ba", "ce", "di", "fo", "gu", "ha", "je", "ki").flatMap { start ->
                listOf("l", "n", "r", "s").map { end -> start + end }
            }

        /** Returns the answer to the rendered prompt [text]. */
        fun to(text: String): Answer =
            Answer(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

        private fun mix(value: Long): Long {
            val first = (value xor (value ushr 30)) * FIRST_MULTIPLIER
            val second = (first xor (first ushr 27)) * SECOND_MULTIPLIER
            return second xor (second ushr 31)
        }
    }
}

/** These bytes as lower-case hexadecimal digits. */
fun ByteArray.toHexadecimal(): String = HexFormat.of().formatHex(this)

/** SHA-256 of these bytes in hexadecimal. */
fun ByteArray.sha256(): String = MessageDigest.getInstance("SHA-256").digest(this).toHexadecimal()
