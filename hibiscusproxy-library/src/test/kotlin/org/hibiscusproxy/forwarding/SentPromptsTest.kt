package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.SentPrompt

/** A flood of new prompts, of which each message may carry only a few. */
class SentPromptsTest {
    private fun prompt(number: Int) =
        SentPrompt(TargetName("engine"), listOf(PromptPart("part-$number", 1_000)))

    @Test
    fun `are told once, oldest first, in small messages`() {
        val prompts = SentPromptQueue()
        val added = (1..20).map(::prompt)
        added.forEach(prompts::add)
        val messages = generateSequence { prompts.take().ifEmpty { null } }.toList()
        assertEquals(added, messages.flatten())
        assertTrue(messages.all { it.size <= 8 }, "$messages")
        assertTrue(prompts.isEmpty)
    }

    @Test
    fun `beyond the capacity are dropped, oldest first`() {
        val prompts = SentPromptQueue()
        val added = (1..1_000).map(::prompt)
        added.forEach(prompts::add)
        val told = generateSequence { prompts.take().ifEmpty { null } }.flatten().toList()
        assertEquals(added.takeLast(told.size), told)
        assertTrue(told.size in 1..256, "${told.size}")
    }
}
