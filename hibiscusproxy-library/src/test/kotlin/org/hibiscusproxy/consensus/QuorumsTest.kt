package org.hibiscusproxy.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

/**
 * Guards against a commit that a later leader can miss, for all sets of lost identities that two
 * replicas may know. Members are the bits of a number, so all cases up to [LARGEST] are tried.
 */
class QuorumsTest {
    private fun quorums(size: Int, lost: Int, losses: Int): Quorums {
        val members = (0 until size).associate { ProcessName("c$it") to Member(it + 1L, true) }
        val identities = (0 until size).filter { lost shr it and 1 == 1 }.map { it + 1L }
        return Quorums(Membership(members), identities.toSet(), losses)
    }

    private fun all(size: Int) = (1 shl size) - 1

    private fun subsets(set: Int, count: Int) =
        (0..set).filter { it and set == it && it.countOneBits() == count }

    private fun forAllCases(check: (size: Int, losses: Int, lost: Int) -> Unit) {
        for (size in 1..LARGEST) {
            for (losses in 0 until size) {
                for (lost in 0 until all(size)) check(size, losses, lost)
            }
        }
    }

    @Nested
    inner class `A commit and a later election` {
        /**
         * The later leader is not lost as far as the committing one knows. Its voters may be: they
         * may have voted before.
         */
        @Test
        fun `share a voter`() = forAllCases { size, losses, lost ->
            val commit = quorums(size, lost, losses).commit
            val present = all(size) and lost.inv()
            val holders = subsets(present, commit)
            for (lostLater in 0 until all(size)) {
                val presentLater = all(size) and lostLater.inv()
                val needed = quorums(size, lostLater, losses).election
                subsets(presentLater, needed).filter { it and present != 0 }.forEach { voters ->
                    // One of these voters is the leader itself.
                    val leaders = voters and present
                    val missed = holders.filter { it and voters == 0 && leaders and it.inv() != 0 }
                    assertTrue(missed.isEmpty(), "$size $losses $lost $lostLater $voters $missed")
                }
            }
        }
    }

    @Nested
    inner class `Two leaders of a term` {
        @Test
        fun `need a common voter unless one of them is lost`() = forAllCases { size, losses, lost ->
            val present = all(size) and lost.inv()
            val first = subsets(present, quorums(size, lost, losses).election)
            for (lostLater in 0 until all(size)) {
                val presentLater = all(size) and lostLater.inv()
                val second = subsets(presentLater, quorums(size, lostLater, losses).election)
                first.forEach { one ->
                    val apart = second.filter { it and one == 0 }
                    // A leader that the other one counts as present would have been its voter.
                    val sound = apart.filter { one and presentLater != 0 && it and present != 0 }
                    assertTrue(sound.isEmpty(), "$size $losses $lost $lostLater $one $sound")
                }
            }
        }
    }

    @Nested
    inner class `Without lost identities` {
        @Test
        fun `twice the losses plus one voters need a majority`() = (1..3).forEach { losses ->
            val quorums = quorums(2 * losses + 1, lost = 0, losses)
            assertEquals(losses + 1, quorums.commit)
            assertEquals(losses + 1, quorums.election)
        }

        @Test
        fun `a commit has one holder more than losses where there are enough voters`() =
            forAllCases { size, losses, _ ->
                assertTrue(quorums(size, lost = 0, losses).commit > losses)
            }
    }

    private companion object {
        const val LARGEST = 6
    }
}
