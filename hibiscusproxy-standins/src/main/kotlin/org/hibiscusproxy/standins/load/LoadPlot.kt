package org.hibiscusproxy.standins.load

import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers

/** Draws the durations of a run over its seconds. */
class LoadPlot(private val seconds: List<LoadLine.Second>) {
    /** Writes an SVG file at [path], which must end with `.svg`. */
    fun save(path: String) {
        require(path.endsWith(EXTENSION)) { "plot file must end with $EXTENSION: $path" }
        System.setProperty("java.awt.headless", "true")
        val chart = XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
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
        val numbers = seconds.map { it.second.toDouble() }
        for ((name, read) in lines) {
            val values = seconds.map { read(it.durations).coerceAtLeast(SMALLEST_MILLISECONDS) }
            chart.addSeries(name, numbers, values).marker = SeriesMarkers.NONE
        }
        VectorGraphicsEncoder.saveVectorGraphic(
            chart,
            path.removeSuffix(EXTENSION),
            VectorGraphicsEncoder.VectorGraphicsFormat.SVG,
        )
    }

    private companion object {
        const val EXTENSION = ".svg"
        const val WIDTH = 1_000
        const val HEIGHT = 600

        // A logarithmic axis has no zero.
        const val SMALLEST_MILLISECONDS = 0.01
    }
}
