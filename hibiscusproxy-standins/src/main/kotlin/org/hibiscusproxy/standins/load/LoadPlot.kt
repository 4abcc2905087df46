package org.hibiscusproxy.standins.load

import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers

/** Plots the durations of a run per second. */
class LoadPlot(private val seconds: List<LoadLine.Second>) {
    /** Writes the plot to the SVG file [path], which must end with `.svg`. */
    fun save(path: String) {
        require(path.endsWith(EXTENSION)) { "plot file must end with $EXTENSION: $path" }
        System.setProperty("java.awt.headless", "true")
        val chart = XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("Time to first token and token relay delay")
            .xAxisTitle("second")
            .yAxisTitle("milliseconds")
            .build()
        chart.styler.isYAxisLogarithmic = true
        val lines = listOf<Pair<String, (Durations) -> Double>>(
            "first token p50" to { it.firstToken.p50 },
            "first token p99" to { it.firstToken.p99 },
            "between tokens p99" to { it.betweenTokens.p99 },
            "relay delay p50" to { it.relayDelay.p50 },
            "relay delay p99" to { it.relayDelay.p99 },
        )
        val x = seconds.map { it.second.toDouble() }
        for ((name, durationOf) in lines) {
            val y = seconds.map { durationOf(it.durations).coerceAtLeast(MINIMUM_MILLISECONDS) }
            chart.addSeries(name, x, y).marker = SeriesMarkers.NONE
        }
        VectorGraphicsEncoder.saveVectorGraphic(
            chart,
            path.removeSuffix(EXTENSION),
            VectorGraphicsEncoder.VectorGraphicsFormat.SVG,
        )
    }

    private companion object {
        const val EXTENSION = ".svg"
        const val WIDTH_PIXELS = 1_000
        const val HEIGHT_PIXELS = 600

        // A logarithmic axis can't show zero.
        const val MINIMUM_MILLISECONDS = 0.01
    }
}
