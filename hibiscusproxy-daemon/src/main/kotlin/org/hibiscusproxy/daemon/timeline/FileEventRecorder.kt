package org.hibiscusproxy.daemon.timeline

import java.io.BufferedWriter
import java.io.IOException
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.io.path.bufferedWriter
import kotlin.io.path.createDirectories
import kotlinx.serialization.json.Json
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.hibiscusproxy.timeline.TimelineRecord
import org.slf4j.LoggerFactory

/**
 * Appends events to a file as JSON lines. Recording never blocks on the disk: an event that finds
 * the queue full is dropped, which leaves a gap in the sequence numbers and is counted in
 * [dropped].
 */
class FileEventRecorder(
    private val process: ProcessName,
    private val incarnation: Incarnation,
    file: Path,
) : EventRecorder,
    AutoCloseable {
    private val queue = ArrayBlockingQueue<TimelineRecord>(QUEUE_CAPACITY)
    private val sequence = AtomicLong()
    private val droppedCount = AtomicLong()

    @Volatile
    private var isClosing = false
    private val writer = thread(name = "timeline", isDaemon = true) { write(file) }

    /** Number of events dropped because the queue was full. */
    val dropped: Long get() = droppedCount.get()

    override fun record(event: FleetEvent) {
        val record = TimelineRecord(
            process = process,
            incarnation = incarnation,
            sequence = sequence.getAndIncrement(),
            epochMilliseconds = System.currentTimeMillis(),
            event = event,
        )
        if (!queue.offer(record)) droppedCount.incrementAndGet()
    }

    /** Writes the queued events and stops the writer. */
    override fun close() {
        isClosing = true
        writer.join(CLOSE_TIMEOUT_MILLISECONDS)
    }

    private fun write(file: Path) {
        try {
            file.toAbsolutePath().parent.createDirectories()
            file.bufferedWriter(
                options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.APPEND),
            ).use { output -> writeQueued(output) }
        } catch (failure: IOException) {
            logger.error(
                "timeline: Writing to {} failed, recording ends: {}",
                file,
                failure.message,
            )
        }
    }

    private fun writeQueued(output: BufferedWriter) {
        while (!isClosing || queue.isNotEmpty()) {
            val record = queue.poll(POLL_MILLISECONDS, TimeUnit.MILLISECONDS) ?: continue
            output.append(record)
            while (true) output.append(queue.poll() ?: break)
            output.flush()
        }
    }

    private fun BufferedWriter.append(record: TimelineRecord) {
        write(Json.encodeToString(TimelineRecord.serializer(), record))
        newLine()
    }

    private companion object {
        const val QUEUE_CAPACITY = 16_384
        const val POLL_MILLISECONDS = 100L
        const val CLOSE_TIMEOUT_MILLISECONDS = 2_000L
        val logger = LoggerFactory.getLogger(FileEventRecorder::class.java)
    }
}
