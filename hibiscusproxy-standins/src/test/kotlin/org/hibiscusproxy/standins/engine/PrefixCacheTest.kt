package org.hibiscusproxy.standins.engine

import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.promptOf
import org.junit.jupiter.api.Nested

/** Guards against a cache that reports impossible reuse or evicts the start of used prefixes. */
class PrefixCacheTest {
    private val observer = object : CacheObserver {
        val removed = ArrayList<Long>()

        override fun stored(blocks: List<Long>, requestId: String?) = Unit

        override fun removed(blocks: List<Long>) {
            removed += blocks
        }

        override fun cleared() = Unit
    }

    private fun prompt(name: String, blocks: Int): PromptTokens =
        PromptTokens.of((1..blocks * PromptTokens.BLOCK_TOKENS).joinToString(" ") { "$name$it" })

    @Nested
    inner class Blocks {
        @Test
        fun `of a follow-up prompt begin with those of the previous prompt and answer`() {
            val first = listOf(ChatMessage("user", (1..50).joinToString(" ") { "w$it" }))
            val answer = Answer.to(promptOf(first))
            val second = first + ChatMessage("assistant", answer.text(40)) +
                ChatMessage("user", "more")
            val known = PromptTokens.of(promptOf(first)).followedBy(answer, 40).blocks

            val next = PromptTokens.of(promptOf(second)).blocks

            assertEquals(92 / 16, known.size)
            assertContentEquals(known, next.copyOf(known.size))
        }

        @Test
        fun `differ when an earlier block differs`() {
            val one = PromptTokens.of("a " + "w ".repeat(31)).blocks
            val other = PromptTokens.of("b " + "w ".repeat(31)).blocks

            assertEquals(emptySet(), one.toSet() intersect other.toSet())
        }
    }

    @Nested
    inner class Capacity {
        @Test
        fun `evicts least recently used prefixes first, from their end`() {
            val cache = PrefixCache(capacity = 5, observer)
            cache.store(prompt("a", 3).blocks, "r")
            cache.store(prompt("b", 2).blocks, "r")
            cache.lookUp(prompt("a", 3))

            cache.store(prompt("c", 3).blocks, "r")

            assertEquals(
                prompt("b", 2).blocks.reversed() + prompt("a", 3).blocks[2],
                observer.removed,
            )
            assertEquals(32, cache.lookUp(prompt("a", 3)))
            assertEquals(0, cache.lookUp(prompt("b", 2)))
            assertEquals(48, cache.lookUp(prompt("c", 3)))
            assertEquals(5, cache.size)
        }
    }
}
