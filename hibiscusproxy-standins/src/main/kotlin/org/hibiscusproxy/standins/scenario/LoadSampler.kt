package org.hibiscusproxy.standins.scenario

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.math.ceil
import kotlin.math.max
import org.hibiscusproxy.standins.deployment.Deployment

/**
 * Periodically samples the load of all engines and compares the largest with its bound,
 * `max(floor, ceil(multiple * mean))`. Engines are read one after the other, so a sample may be off
 * by the requests that begin or end in between.
 */
internal class LoadSampler(deployment: Deployment, private val counters: WorkCounters) :
    AutoCloseable {
    /**
     * Aggregates of all samples.
     *
     * @property samplesAboveBound samples in which the largest load was above its bound
     * @property largestExcess largest excess over the bound in requests, 0 when there was none
     * @property largestLoad largest load of one engine
     * @property largestRatio largest ratio of largest to mean load, of samples with a mean of 4 or
     *   more
     */
    data class Result(
        val samples: Int = 0,
        val samplesAboveBound: Int = 0,
        val largestExcess: Int = 0,
        val largestLoad: Int = 0,
        val largestRatio: Double = 0.0,
    )

    private val service = deployment.objects.services.first { it.name == deployment.chatService }
    private val scheduler = Executors.newSingleThreadScheduledExecutor()

    /** Aggregates of the samples so far. */
    @Volatile
    var result: Result = Result()
        private set

    init {
        scheduler.scheduleWithFixedDelay(::sample, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        scheduler.shutdown()
        scheduler.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun sample() {
        val loads = counters.engineLoads()
        if (loads.isEmpty()) return
        val mean = loads.average()
        val largest = loads.max()
        val bound = max(service.loadFloor, ceil(service.loadMultiple * mean).toInt())
        val old = result
        result = Result(
            samples = old.samples + 1,
            samplesAboveBound = old.samplesAboveBound + if (largest > bound) 1 else 0,
            largestExcess = max(old.largestExcess, largest - bound),
            largestLoad = max(old.largestLoad, largest),
            largestRatio = if (mean < MINIMUM_MEAN) {
                old.largestRatio
            } else {
                max(old.largestRatio, largest / mean)
            },
        )
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 100L
        const val CLOSE_TIMEOUT_SECONDS = 10L

        // At a smaller mean, one request more or less changes the ratio by a quarter.
        const val MINIMUM_MEAN = 4.0
    }
}
