package org.hibiscusproxy.daemon.process

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The registry's page of metrics. What every process reports of itself (memory, threads,
 * collections, processor time) is registered when the page is read first: the management beans
 * behind it take a tenth of a start on a small instance. Collections count from then on.
 */
class MetricsPage(private val registry: PrometheusMeterRegistry) {
    private val page by lazy {
        registerProcessMeters(registry)
        registry
    }

    /** The metrics as Prometheus text. */
    fun text(): String = page.scrape()
}

private fun registerProcessMeters(registry: MeterRegistry) {
    JvmMemoryMetrics().bindTo(registry)
    JvmThreadMetrics().bindTo(registry)
    JvmGcMetrics().bindTo(registry)
    ProcessorMetrics().bindTo(registry)
    Gauge.builder("process.resident.memory", ::residentBytes)
        .description("Resident memory of the process")
        .baseUnit("bytes")
        .register(registry)
}

private fun residentBytes(): Double = try {
    val line = Files.readAllLines(Path.of("/proc/self/status")).first { it.startsWith("VmRSS") }
    line.filter { it.isDigit() }.toDouble() * BYTES_PER_KIBIBYTE
} catch (_: IOException) {
    Double.NaN
}

private const val BYTES_PER_KIBIBYTE = 1_024
