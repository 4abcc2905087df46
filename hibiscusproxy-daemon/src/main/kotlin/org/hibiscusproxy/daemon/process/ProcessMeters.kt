package org.hibiscusproxy.daemon.process

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Registers what every process reports of itself: memory, threads, collections, processor time. */
internal fun registerProcessMeters(registry: MeterRegistry) {
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
