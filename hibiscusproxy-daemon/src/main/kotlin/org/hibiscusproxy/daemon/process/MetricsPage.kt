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
 * Renders the metrics of the registry. The JVM metrics (memory, threads, garbage collection,
 * processor time) are registered at the first scrape, since loading the management beans behind
 * them takes a tenth of the start-up time on a small instance. Garbage collections are counted from
 * then on.
 */
class MetricsPage(private val registry: PrometheusMeterRegistry) {
    private val initializedRegistry by lazy {
        registerProcessMeters(registry)
        registry
    }

    /** The metrics in the Prometheus text format. */
    fun text(): String = initializedRegistry.scrape()
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
