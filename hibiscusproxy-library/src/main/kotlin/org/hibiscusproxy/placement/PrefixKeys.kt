package org.hibiscusproxy.placement

import org.hibiscusproxy.model.ModelName

/**
 * Prefix keys of chats. The upper 32 bits hash what many chats share, that is model, adapter and
 * the leading system messages; the lower 32 bits hash in addition the first message after them,
 * which every later turn of the same chat repeats. Turns of one chat thus have equal keys, and
 * chats over one manual have equal upper halves.
 */
object PrefixKeys {
    private const val HALF_BITS = 32
    private const val LOWER_HALF = 0xffffffffL
    private val SHARED_ROLES = setOf("system", "developer")

    /** Key of a chat with the given [messages], which may be empty. */
    fun ofChat(model: ModelName, adapter: ModelName?, messages: List<PromptMessage>): PrefixKey {
        var hash = Hashing.of(model.value)
        hash = Hashing.of(adapter?.value.orEmpty(), hash)
        val sharedCount = messages.indexOfFirst { it.role !in SHARED_ROLES }
            .let { if (it < 0) messages.size else it }
        for (message in messages.take(sharedCount)) hash = Hashing.of(message.content, hash)
        val own = messages.getOrNull(sharedCount)?.let { Hashing.of(it.content, hash) } ?: hash
        return of(hash, own)
    }

    /** Key of a plain request, where [text] is what requests that belong together share. */
    fun ofText(text: String): PrefixKey = Hashing.of(text).let { of(it, it) }

    private fun of(shared: Long, own: Long): PrefixKey =
        PrefixKey((shared shl HALF_BITS) or (own and LOWER_HALF))
}

/** Hash of what many chats share. */
internal val PrefixKey.shared: Long get() = value ushr 32
