package org.hibiscusproxy.placement

/**
 * 64-bit hashes that are stable across processes and releases, unlike `hashCode`. Entries must
 * compute the same hashes, so all entries must be upgraded together when a hash changes.
 */
internal object Hashing {
    private const val OFFSET = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val FIRST_MULTIPLIER = -0x61c8864680b583ebL
    private const val SECOND_MULTIPLIER = -0x40a7b892e31b1a47L
    private const val THIRD_MULTIPLIER = -0x6b2fb644ecceee15L

    /** FNV-1a over UTF-16 code units, seeded with [seed] and finalized by [mix]. */
    fun of(text: String, seed: Long = 0): Long {
        var hash = OFFSET xor seed
        for (character in text) hash = (hash xor character.code.toLong()) * PRIME
        return mix(hash)
    }

    /** FNV-1a over [bytes], seeded with [seed] and finalized by [mix]. */
    fun of(bytes: ByteArray, seed: Long = 0): Long {
        var hash = OFFSET xor seed
        for (byte in bytes) hash = (hash xor (byte.toLong() and 0xff)) * PRIME
        return mix(hash)
    }

    /** Finalizer of splitmix64: every input bit affects all output bits. */
    fun mix(value: Long): Long {
        var mixed = value + FIRST_MULTIPLIER
        mixed = (mixed xor (mixed ushr 30)) * SECOND_MULTIPLIER
        mixed = (mixed xor (mixed ushr 27)) * THIRD_MULTIPLIER
        return mixed xor (mixed ushr 31)
    }

    /** Hashes an ordered pair. */
    fun combine(first: Long, second: Long): Long = mix(first xor mix(second))
}
