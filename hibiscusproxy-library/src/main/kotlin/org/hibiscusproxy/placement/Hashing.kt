package org.hibiscusproxy.placement

/**
 * 64-bit hashes that are the same in every process and release, unlike `hashCode`. Entries must
 * agree on them, so a change needs all entries to be replaced together.
 */
internal object Hashing {
    private const val OFFSET = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val FIRST_MULTIPLIER = -0x61c8864680b583ebL
    private const val SECOND_MULTIPLIER = -0x40a7b892e31b1a47L
    private const val THIRD_MULTIPLIER = -0x6b2fb644ecceee15L

    /** FNV-1a over UTF-16 code units, continued from [seed] and finished by [mix]. */
    fun of(text: String, seed: Long = 0): Long {
        var hash = OFFSET xor seed
        for (character in text) hash = (hash xor character.code.toLong()) * PRIME
        return mix(hash)
    }

    /** FNV-1a over [bytes], continued from [seed] and finished by [mix]. */
    fun of(bytes: ByteArray, seed: Long = 0): Long {
        var hash = OFFSET xor seed
        for (byte in bytes) hash = (hash xor (byte.toLong() and 0xff)) * PRIME
        return mix(hash)
    }

    /** Spreads every input bit over all output bits (splitmix64). */
    fun mix(value: Long): Long {
        var mixed = value + FIRST_MULTIPLIER
        mixed = (mixed xor (mixed ushr 30)) * SECOND_MULTIPLIER
        mixed = (mixed xor (mixed ushr 27)) * THIRD_MULTIPLIER
        return mixed xor (mixed ushr 31)
    }

    /** Hash of a pair. */
    fun combine(first: Long, second: Long): Long = mix(first xor mix(second))
}
