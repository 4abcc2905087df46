package org.hibiscusproxy.standins.scenario

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.math.ceil
import kotlin.math.max
import org.hibiscusproxy.standins.deployment.Deployment

/**
 * Samples the running load of all engines while a load runs and compares the largest with its
 * bound, `max(floor, ceil(multiple * mean))`. The engines are read one after the other, so a
 * sample may be off by the requests that begin or end meanwhile.
 */
internal class LoadSampler(deployment: Deployment, private val counters: WorkCounters) :
    AutoCloseable {
    /**
     * What was sampled.
     *
     * @property above samples in which the busiest engine was above its bound
     * @property aboveBound largest excess over the bound in requests, 0 when there was none
     * @property busiest largest load of one engine
     * @property ratio largest load over mean load, of samples with a mean of 4 or more
     */
    data class Result(
        val samples: Int = 0,
        val above: Int = 0,
        val aboveBound: Int = 0,
        val busiest: Int = 0,
        val ratio: Double = 0.0,
    )

    private val service = deployment.objects.services.first { it.name == deployment.chatService }
    private val ticker = Executors.newSingleThreadScheduledExecutor()

    /** Everything sampled so far. */
    @Volatile
    var result: Result = Result()
        private set

    init {
        ticker.scheduleWithFixedDelay(::sample, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        ticker.shutdown()
        ticker.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)
    }

    private fun sample() {
        val loads = counters.engineLoads()
        if (loads.isEmpty()) return
        val mean = loads.average()
        val busiest = loads.max()
        val bound = max(service.loadFloor, ceil(service.loadMultiple * mean).toInt())
        val old = result
        result = Result(
            samples = old.samples + 1,
            above = old.above + if (busiest > bound) 1 else 0,
            aboveBound = max(old.aboveBound, busiest - bound),
            busiest = max(old.busiest, busiest),
            ratio = if (mean < LEAST_MEAN) old.ratio else max(old.ratio, busiest / mean),
        )
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 100L
        const val CLOSE_SECONDS = 10L

        // Below it, one request more or less changes the ratio by a quarter.
        const val LEAST_MEAN = 4.0
    }
}
