package org.hibiscusproxy.placement

import org.hibiscusproxy.model.ModelName

/**
 * Computes prefix keys. The upper 32 bits hash the model, the adapter and the leading system
 * messages, which many chats share. The lower 32 bits also include the first message after them,
 * which all later turns of the chat repeat. Turns of one chat therefore have equal keys, and chats
 * with the same system messages have equal upper halves.
 */
object PrefixKeys {
    private const val HALF_BITS = 32
    private const val LOWER_HALF = 0xffffffffL
    private val SHARED_ROLES = setOf("system", "developer")

    /** Returns the key of a chat with [messages], which may be empty. */
    fun ofChat(model: ModelName, adapter: ModelName?, messages: List<PromptMessage>): PrefixKey {
        var hash = Hashing.of(model.value)
        hash = Hashing.of(adapter?.value.orEmpty(), hash)
        val sharedCount = messages.indexOfFirst { it.role !in SHARED_ROLES }
            .let { if (it < 0) messages.size else it }
        for (message in messages.take(sharedCount)) hash = Hashing.of(message.content, hash)
        val own = messages.getOrNull(sharedCount)?.let { Hashing.of(it.content, hash) } ?: hash
        return of(hash, own)
    }

    /** Returns the key of a plain request; related requests have the same [text]. */
    fun ofText(text: String): PrefixKey = Hashing.of(text).let { of(it, it) }

    private fun of(shared: Long, own: Long): PrefixKey =
        PrefixKey((shared shl HALF_BITS) or (own and LOWER_HALF))
}

/** Hash of the prefix that many chats share: the upper half of the key. */
internal val PrefixKey.shared: Long get() = value ushr 32
