package org.hibiscusproxy.standins.answers

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The only correct answer to a prompt. Token 0 is the prompt's SHA-256 in hexadecimal, the others
 * are words drawn from a sequence seeded by it, so that a caller can recompute each token.
 */
class Answer private constructor(private val digest: ByteArray) {
    private val seed: Long = ByteBuffer.wrap(digest).long

    /** Token number [index], counted from 0, without surrounding spaces. */
    fun tokenAt(index: Int): String {
        if (index == 0) return digest.toHexadecimal()
        val number = mixed(seed + index * SEQUENCE_STEP)
        val first = SYLLABLES[(number and SYLLABLE_MASK).toInt()]
        val second = SYLLABLES[(number shr SYLLABLE_BITS and SYLLABLE_MASK).toInt()]
        val third = SYLLABLES[(number shr (2 * SYLLABLE_BITS) and SYLLABLE_MASK).toInt()]
        return first + second + third
    }

    /** Text of token [index] in a stream; all but the first token begin with a space. */
    fun streamedTokenAt(index: Int): String = if (index == 0) tokenAt(0) else " ${tokenAt(index)}"

    /** The whole answer of [tokens] tokens. */
    fun text(tokens: Int): String = (0 until tokens).joinToString(" ") { tokenAt(it) }

    companion object {
        private const val SYLLABLE_BITS = 5
        private const val SYLLABLE_MASK = 31L
        private const val SEQUENCE_STEP = -7046029254386353131L
        private const val FIRST_FACTOR = -4658895280553007687L
        private const val SECOND_FACTOR = -7723592293110705685L
        private val SYLLABLES: List<String> =
            listOf("ba", "ce", "di", "fo", "gu", "ha", "je", "ki").flatMap { start ->
                listOf("l", "n", "r", "s").map { end -> start + end }
            }

        /** The answer to the rendered prompt [text]. */
        fun to(text: String): Answer =
            Answer(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

        private fun mixed(value: Long): Long {
            val first = (value xor (value ushr 30)) * FIRST_FACTOR
            val second = (first xor (first ushr 27)) * SECOND_FACTOR
            return second xor (second ushr 31)
        }
    }
}

/** Bytes as lower-case hexadecimal digits. */
fun ByteArray.toHexadecimal(): String = HexFormat.of().formatHex(this)

/** SHA-256 of these bytes in hexadecimal. */
fun ByteArray.sha256(): String = MessageDigest.getInstance("SHA-256").digest(this).toHexadecimal()
