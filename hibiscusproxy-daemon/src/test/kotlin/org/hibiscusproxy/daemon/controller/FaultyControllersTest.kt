package org.hibiscusproxy.daemon.controller

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.slf4j.LoggerFactory

/** Guards the promises to operators and callers against partitions, restarts and lost messages. */
class FaultyControllersTest {
    private val log = LoggerFactory.getLogger(ControllerCore::class.java) as Logger

    @BeforeTest
    fun hideElections() {
        log.level = Level.WARN
    }

    @AfterTest
    fun showElections() {
        log.level = null
    }

    @Test
    fun `no promise is broken in 20 seeded runs`() {
        val runs = (1..20).map { seed ->
            FaultyControllersRun(seed).also {
                it.run(40.seconds)
                assertEquals(emptyList(), it.violations.take(3), "seed $seed")
            }
        }

        val acceptedChanges = runs.sumOf { it.acceptedChanges }
        val ran = runs.sumOf { it.runs }
        val resentAnswers = runs.sumOf { it.resentAnswers }
        val leaseShare = runs.map { it.leaseShare }.average()
        assertTrue(acceptedChanges > 300, "hardly any change was accepted: $acceptedChanges")
        assertTrue(ran > 500, "hardly any request ran: $ran")
        assertTrue(resentAnswers > 500, "hardly any answer was given again: $resentAnswers")
        assertTrue(leaseShare > 0.5, "targets hardly ever held a lease: $leaseShare")
    }
}
