package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.SentPrompt

/** Guards against unbounded traffic and memory when many prompts are new. */
class SentPromptsTest {
    private fun prompt(number: Int) =
        SentPrompt(TargetName("engine"), listOf(PromptPart("part-$number", 1_000)))

    @Test
    fun `are returned once, oldest first, in small batches`() {
        val queue = SentPromptQueue()
        val added = (1..20).map(::prompt)
        added.forEach(queue::add)
        val batches = generateSequence { queue.take().ifEmpty { null } }.toList()
        assertEquals(added, batches.flatten())
        assertTrue(batches.all { it.size <= 8 }, "$batches")
        assertTrue(queue.isEmpty)
    }

    @Test
    fun `beyond the capacity are dropped, oldest first`() {
        val queue = SentPromptQueue()
        val added = (1..1_000).map(::prompt)
        added.forEach(queue::add)
        val taken = generateSequence { queue.take().ifEmpty { null } }.flatten().toList()
        assertEquals(added.takeLast(taken.size), taken)
        assertTrue(taken.size in 1..256, "${taken.size}")
    }
}
