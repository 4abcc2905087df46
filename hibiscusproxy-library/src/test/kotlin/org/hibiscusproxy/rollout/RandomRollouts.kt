package org.hibiscusproxy.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Rollouts in random fleets, and the bounds of the requirement for them. */
internal object RandomRollouts {
    /** More seeds: `-Drollouts.scale=10`. */
    val scale: Int = Integer.getInteger("rollouts.scale", 1)

    /** A bad version may give 50 bad answers before the time to roll it back runs. */
    fun assertFound(runs: List<RolloutSimulation>) {
        val wrong = runs.filter { run ->
            val limit = run.fiftiethBadAt?.plus(4.seconds) ?: Duration.INFINITE
            val isCompleted = run.rollout.phase == RolloutPhase.COMPLETED
            if (isCompleted) run.judgedBadAnswers >= 50 else checkNotNull(run.endedAt) > limit
        }
        assertEquals(emptyList(), wrong.map { "$it" })
    }

    /** Rates, durations, listing, share of failures and a spell drawn from [seed]. */
    fun service(
        seed: Int,
        failure: (SimulatedRequest) -> Double = { 0.0 },
        slowness: (SimulatedRequest) -> Double = { 1.0 },
    ): SimulatedService {
        val random = Random(seed)
        val seconds = random.nextDouble(6.0, 40.0)
        val spell = random.nextDouble(-4.0, seconds).let { it..it + 4 }
        val usual = random.nextDouble(0.0, 0.03)
        return SimulatedService(
            rate = exp(random.nextDouble(ln(10.0), ln(400.0))),
            duration = seconds.seconds,
            listedAt = random.nextDouble(0.3, 0.3 * seconds),
            failureShare = { request ->
                val share = if (request.second in spell) 0.45 else usual
                maxOf(share, failure(request))
            },
            slowness = slowness,
            spell = spell,
        )
    }

    /** Runs with [scale] times 100 seeds; the leader changes in half of them. */
    fun runs(run: (Int) -> SimulatedService) = (1..100 * scale).map { seed ->
        val service = run(seed)
        val changeAt = Random(seed).nextDouble(service.duration.toDouble(DurationUnit.SECONDS))
        RolloutSimulation(service, seed, changeAt.takeIf { seed % 2 == 0 }).run()
    }
}
