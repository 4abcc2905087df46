package org.hibiscusproxy.standins.answers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import org.junit.jupiter.api.Nested

/** Guards against answers that a caller can't recompute or can't tell apart. */
class AnswerTest {
    @Nested
    inner class Tokens {
        @Test
        fun `begin with the prompt's hash and go on with words seeded by it`() {
            val answer = Answer.to("user: abc\nassistant:")

            assertEquals("user: abc\nassistant:".encodeToByteArray().sha256(), answer.tokenAt(0))
            assertEquals(Answer.to("user: abc\nassistant:").text(40), answer.text(40))
            assertEquals(20, (1..20).map { answer.tokenAt(it) }.toSet().size)
        }

        @Test
        fun `differ from token 1 on for prompts that differ in one character`() {
            assertNotEquals(Answer.to("a").tokenAt(1), Answer.to("b").tokenAt(1))
        }

        @Test
        fun `of a stream add up to the whole text`() {
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
