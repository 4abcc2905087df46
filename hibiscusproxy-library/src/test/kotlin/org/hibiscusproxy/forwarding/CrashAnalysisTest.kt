package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.junit.jupiter.api.Nested

/** Guards against causes of crashes that stay unknown, and against refusals of sound requests. */
class CrashAnalysisTest {
    private val time = TestTimeSource()
    private val analysis = CrashAnalysis(time)
    private val cause = Fingerprint(1)
    private val base = Fingerprint(2)
    private val subjects = List(8) { Fingerprint(10L + it) }
    private var crashes = 0

    private fun crash(vararg requests: Set<Fingerprint>) {
        crashes += 1
        analysis.recordCrash(TargetName("target-$crashes"), Duration.ZERO, requests.toList())
    }

    /** Lets a target end with [suspects] every second, [times] times. */
    private fun crashEverySecond(times: Int, request: Set<Fingerprint>) = repeat(times) {
        crash(request)
        time += 1.seconds
    }

    private fun settle() {
        time += 2.seconds
    }

    @Nested
    inner class Causes {
        @Test
        fun `are the only suspect of three crashes`() {
            crashEverySecond(2, setOf(cause))
            settle()
            assertEquals(emptySet(), analysis.causes())
            crash(setOf(cause))
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes())
        }

        @Test
        fun `are told from bystanders of some of the crashes`() {
            crash(setOf(cause), setOf(subjects[0]), setOf(subjects[1]))
            time += 1.seconds
            crash(setOf(cause), setOf(subjects[0]))
            time += 1.seconds
            crash(setOf(cause), setOf(subjects[1]), setOf(subjects[2]))
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes())
        }

        @Test
        fun `are not what was answered well since the crash`() {
            repeat(3) {
                crash(setOf(cause, base))
                time += 600.milliseconds
                analysis.recordSurvivedAnswer(base, 500.milliseconds)
            }
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes())
        }

        @Test
        fun `are found although they were answered well before`() {
            analysis.recordSurvivedAnswer(cause, 500.milliseconds)
            time += 1.seconds
            crashEverySecond(3, setOf(cause))
            analysis.recordSurvivedAnswer(cause, 4.seconds)
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes())
        }

        @Test
        fun `are not sought in targets that end at the same moment`() {
            repeat(6) {
                crash(setOf(base, subjects[it]))
                time += 20.milliseconds
            }
            settle()
            assertEquals(emptySet(), analysis.causes())
        }

        @Test
        fun `that come at once are all found`() {
            val other = Fingerprint(3)
            repeat(3) {
                crashEverySecond(1, setOf(cause, subjects[it]))
                crashEverySecond(1, setOf(other, subjects[it]))
            }
            settle()
            assertEquals(setOf(setOf(cause), setOf(other)), analysis.causes())
        }

        @Test
        fun `that cannot be told apart are one cause together`() {
            crashEverySecond(3, setOf(cause, base))
            settle()
            assertEquals(setOf(setOf(cause, base)), analysis.causes())
        }

        @Test
        fun `are not parts that most requests have before six crashes`() {
            fun crashOfMany(number: Int) {
                val bystanders = List(3) { setOf(base, Fingerprint(100L * number + it)) }
                crash(setOf(base, Fingerprint(100L * number + 50)), *bystanders.toTypedArray())
                time += 1.seconds
            }
            (1..5).forEach(::crashOfMany)
            settle()
            assertEquals(emptySet(), analysis.causes())
            crashOfMany(6)
            settle()
            assertEquals(setOf(setOf(base)), analysis.causes())
        }

        @Test
        fun `that were refused before are found again after one crash`() {
            crash(setOf(cause))
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes(listOf(setOf(cause))))
        }

        @Test
        fun `that were not told apart before are told apart after two more crashes`() {
            val refused = listOf(setOf(cause, subjects[0]))
            crash(setOf(cause, subjects[1]))
            settle()
            assertEquals(emptySet(), analysis.causes(refused))
            crash(setOf(cause, subjects[2]))
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes(refused))
        }

        @Test
        fun `are not decided before answers begun since the crash are reported`() {
            repeat(3) {
                crash(setOf(cause))
                time += 300.milliseconds
            }
            assertEquals(emptySet(), analysis.causes())
        }
    }

    @Nested
    inner class Suspects {
        @Test
        fun `that several targets end under at one moment are undecided causes`() {
            repeat(3) { crash(setOf(cause)) }
            settle()
            assertEquals(mapOf(setOf(cause) to 3), analysis.undecidedCauses(emptySet()))
        }

        @Test
        fun `that are parts of several requests at one moment are not`() {
            repeat(3) { crash(setOf(base, subjects[it])) }
            settle()
            assertEquals(emptyMap(), analysis.undecidedCauses(emptySet()))
        }

        @Test
        fun `of more crashes than others are no causes before the others can be answered`() {
            repeat(3) {
                crash(setOf(cause), setOf(subjects[0]))
                time += 220.milliseconds
            }
            crash(setOf(subjects[0]))
            settle()
            assertEquals(emptySet(), analysis.causes())
        }

        @Test
        fun `are found among those of a target that has all the load`() {
            repeat(3) { number ->
                val bystanders = List(60) { setOf(Fingerprint(1_000L * (number + 1) + it)) }
                crash(*bystanders.toTypedArray(), setOf(cause))
                time += 1.seconds
            }
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes())
        }
    }

    @Nested
    inner class Crashes {
        @Test
        fun `reported by several forwarders count once`() {
            repeat(3) {
                analysis.recordCrash(TargetName("target"), Duration.ZERO, listOf(setOf(cause)))
                time += 300.milliseconds
            }
            settle()
            assertEquals(1, analysis.unexplained)
            assertEquals(emptySet(), analysis.causes())
        }

        @Test
        fun `that a known cause explains do not count against bystanders`() {
            repeat(3) { crashEverySecond(1, setOf(cause, subjects[0])) }
            crashEverySecond(2, setOf(cause))
            settle()
            assertEquals(setOf(setOf(cause)), analysis.causes())
            analysis.explain(setOf(setOf(cause)))
            assertEquals(0, analysis.unexplained)
            assertEquals(emptyMap(), analysis.suspects())
        }

        @Test
        fun `stay explained when other forwarders report them later`() {
            repeat(3) { crashEverySecond(1, setOf(cause, subjects[it])) }
            settle()
            analysis.explain(analysis.causes())
            repeat(3) {
                val age = (5 - it).seconds
                analysis.recordCrash(TargetName("target-${it + 1}"), age, listOf(setOf(base)))
            }
            settle()
            assertEquals(emptySet(), analysis.causes())
        }
    }
}
