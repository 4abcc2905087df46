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

/** Checks guarantees to operators and callers under partitions, restarts and message loss. */
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
    fun `no guarantee is violated in 20 seeded runs`() {
        val runs = (1..20).map { seed ->
            ControllerSimulation(seed).also {
                it.run(40.seconds)
                assertEquals(emptyList(), it.violations.take(3), "seed $seed")
            }
        }

        val acceptedChanges = runs.sumOf { it.acceptedChanges }
        val executions = runs.sumOf { it.executions }
        val resentAnswers = runs.sumOf { it.resentAnswers }
        val leaseShare = runs.map { it.leaseShare }.average()
        assertTrue(acceptedChanges > 300, "too few changes were accepted: $acceptedChanges")
        assertTrue(executions > 500, "too few requests were executed: $executions")
        assertTrue(resentAnswers > 500, "too few answers were resent: $resentAnswers")
        assertTrue(leaseShare > 0.5, "targets held a lease too rarely: $leaseShare")
    }
}
