package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against mistyped checks in scripts that the parser skips silently. */
class ScenarioParserTest {
    @Nested
    inner class Reading {
        @Test
        fun `reads every kind of step`() {
            val scenario = ScenarioParser.parse(
                "sample",
                """
                guards a drained data centre gets no new work # one sentence
                fleet volta controllers 3 entries 2
                start
                load rate 40 for 20s bookings 0.1
                kill controller-1
                start controller-1
                out data-center gh-1
                mark quiet
                expect no-work gh-1 since quiet
                expect work gh-1 within 10s
                race controller-1 controller-2
                partition controller-1 sidecar-drafting-1
                kill-at-random 6 seed 3 entry-1 entry-2
                expect voter controller-1 within 20s
                expect state gh-1 out
                expect wrong = 0
                """.trimIndent(),
            ).getOrThrow { AssertionError(it.toString()) }

            assertEquals(listOf("a drained data centre gets no new work"), scenario.guards)
            assertEquals(
                listOf(
                    ScenarioStep.Fleet("volta", 3, 2, emptyList()),
                    ScenarioStep.StartAll,
                    ScenarioStep.Load(40.0, 20.seconds, 0.1, 1.0, 32),
                    ScenarioStep.ControlProcesses(
                        ScenarioStep.ProcessAction.KILL,
                        listOf("controller-1"),
                    ),
                    ScenarioStep.ControlProcesses(
                        ScenarioStep.ProcessAction.START,
                        listOf("controller-1"),
                    ),
                    ScenarioStep.SetState(ScenarioStep.Subject.DATA_CENTER, "gh-1", true),
                    ScenarioStep.Mark("quiet"),
                    ScenarioStep.ExpectNoWork("gh-1", "quiet"),
                    ScenarioStep.ExpectWork("gh-1", 10.seconds),
                    ScenarioStep.Race(listOf("controller-1", "controller-2")),
                    ScenarioStep.Partition(listOf("controller-1", "sidecar-drafting-1")),
                    ScenarioStep.KillAtRandom(6, 3, listOf("entry-1", "entry-2")),
                    ScenarioStep.ExpectVoter("controller-1", 20.seconds),
                    ScenarioStep.ExpectState("gh-1", true),
                    ScenarioStep.ExpectMetric(
                        ScenarioStep.Metric.WRONG,
                        ScenarioStep.Comparison.EQUAL,
                        0.0,
                    ),
                ),
                scenario.steps.map { it.step },
            )
        }
    }

    @Nested
    inner class Refusing {
        @Test
        fun `reports all faults with their lines`() {
            val errors = ScenarioParser.parse(
                "sample",
                "fleet mars\nexpect wrongs = 0\nkill\nwait 3 s\nload speed 3",
            ).getError().orEmpty()

            assertEquals(
                listOf(
                    "1: unknown fleet: mars",
                    "2: unknown metric: wrongs",
                    "3: expected a process",
                    "4: Invalid duration string format: '3'.",
                    "5: unknown option: speed",
                    "0: the script has no guards line",
                ),
                errors.map { "${it.line}: ${it.message}" },
            )
        }
    }
}
