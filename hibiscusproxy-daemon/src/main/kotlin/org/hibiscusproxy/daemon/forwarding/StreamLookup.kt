package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.StreamQuery

/**
 * Asks the controllers which versions began streams. A query is repeated until it is answered,
 * because a leader may still be elected. Used on the event loop only.
 *
 * @param send sends a message to all controllers that are connected
 */
internal class StreamLookup(
    private val loop: EventLoop,
    private val time: TimeSource.WithComparableMarks,
    private val send: (ControlMessage) -> Unit,
) {
    private val pending = LinkedHashMap<Long, Pending>()
    private var lastNumber = 0L

    /**
     * Finds what began [stream], which is null if its caller does not name it, and passes it to
     * [onResult]. Returns the number with which [cancel] drops the query.
     */
    fun find(
        stream: Fingerprint?,
        service: ServiceName,
        limit: Duration,
        onResult: (StreamOrigin) -> Unit,
    ): Long {
        lastNumber += 1
        val query = StreamQuery(lastNumber, stream, service)
        pending[lastNumber] = Pending(query, time.markNow() + limit, onResult)
        ask(lastNumber)
        return lastNumber
    }

    /** Drops the query [number] without a result. */
    fun cancel(number: Long) {
        pending.remove(number)
    }

    /** Processes an answer of a controller; only the first one to a query counts. */
    fun receive(answer: StreamAnswer) {
        val query = pending.remove(answer.number) ?: return
        query.onResult(answer.origin?.let(StreamOrigin::Known) ?: StreamOrigin.Unknown)
    }

    private fun ask(number: Long) {
        val query = pending[number] ?: return
        if (query.end.hasPassedNow()) {
            pending.remove(number)
            return query.onResult(StreamOrigin.NotAnswered)
        }
        send(query.message)
        loop.schedule({ ask(number) }, REPEAT_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private class Pending(
        val message: StreamQuery,
        val end: ComparableTimeMark,
        val onResult: (StreamOrigin) -> Unit,
    )

    private companion object {
        /** Longer than a leader waits for the report of a stream. */
        const val REPEAT_MILLISECONDS = 200L
    }
}
