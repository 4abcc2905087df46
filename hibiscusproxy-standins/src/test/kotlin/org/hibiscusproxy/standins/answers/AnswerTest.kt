package org.hibiscusproxy.standins.answers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import org.junit.jupiter.api.Nested

/** Guards against answers that a client can't recompute or distinguish. */
class AnswerTest {
    @Nested
    inner class Tokens {
        @Test
        fun `start with the hash of the prompt, followed by words seeded by it`() {
            val answer = Answer.to("user: abc\nassistant:")

            assertEquals("user: abc\nassistant:".encodeToByteArray().sha256(), answer.tokenAt(0))
            assertEquals(Answer.to("user: abc\nassistant:").text(40), answer.text(40))
            assertEquals(20, (1..20).map { answer.tokenAt(it) }.toSet().size)
        }

        @Test
        fun `after the hash differ for prompts that differ in one character`() {
            assertNotEquals(Answer.to("a").tokenAt(1), Answer.to("b").tokenAt(1))
        }

        @Test
        fun `of a stream concatenate to the complete text`() {
            val answer = Answer.to("a")

            assertEquals(
                answer.text(5),
                (0 until 5).joinToString("") {
                    answer.streamedTokenAt(it)
                },
            )
        }
    }
}
