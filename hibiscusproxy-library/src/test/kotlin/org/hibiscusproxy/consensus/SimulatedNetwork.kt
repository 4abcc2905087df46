package org.hibiscusproxy.consensus

import java.util.PriorityQueue
import kotlin.random.Random
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/** Direction between two processes. */
data class Link(val sender: ProcessName, val receiver: ProcessName)

/** A message that arrives at [arrival], in milliseconds of virtual time. */
data class Delivery(val link: Link, val message: Payload, val arrival: Long, val number: Long)

/**
 * Loses, delays, reorders and duplicates messages, limits the rates at which they are transmitted
 * and handled, and blocks links, as configured by its fields.
 */
class SimulatedNetwork(private val random: Random) {
    private val queue = PriorityQueue<Delivery>(compareBy({ it.arrival }, { it.number }))
    private var number = 0L
    val blocked = mutableSetOf<Link>()
    var lossProbability = 0.0
    var duplicateProbability = 0.0
    var longDelayProbability = 0.0

    /** Bytes that each process transmits per millisecond, in order; unlimited if null. */
    var transmitRate: Long? = null

    /** Bytes that each process handles per millisecond, in order; unlimited if null. */
    var handlingRate: Long? = null
    private val transmitsUntil = mutableMapOf<ProcessName, Long>()
    private val handlesUntil = mutableMapOf<ProcessName, Long>()

    /** Bytes sent and received by each process so far, including frame overhead. */
    val traffic = mutableMapOf<ProcessName, Long>()
    var largestMessage = 0

    fun send(link: Link, message: Payload, now: Long) {
        val size = message.bytes.size
        largestMessage = maxOf(largestMessage, size)
        listOf(link.sender, link.receiver).forEach { process ->
            traffic.merge(process, size + FRAME_OVERHEAD_BYTES, Long::plus)
        }
        if (random.nextDouble() < lossProbability) return
        val copies = if (random.nextDouble() < duplicateProbability) 2 else 1
        repeat(copies) {
            val transmitted = transmitsUntil.occupy(link.sender, now, size, transmitRate)
            val arrival = transmitted + delay()
            val handled = handlesUntil.occupy(link.receiver, arrival, size, handlingRate)
            queue.add(Delivery(link, message, handled, number++))
        }
    }

    /** Occupies [process] for [size] bytes once it is free; returns when it is done with them. */
    private fun MutableMap<ProcessName, Long>.occupy(
        process: ProcessName,
        from: Long,
        size: Int,
        rate: Long?,
    ): Long {
        if (rate == null) return from
        val end = maxOf(from, this[process] ?: 0) + size / rate
        this[process] = end
        return end
    }

    /** Removes and returns messages that arrive by [now]; those on blocked links are dropped. */
    fun due(now: Long): List<Delivery> {
        val due = mutableListOf<Delivery>()
        while (queue.isNotEmpty() && queue.peek().arrival <= now) due.add(queue.remove())
        return due.filter { it.link !in blocked }
    }

    private fun delay(): Long = if (random.nextDouble() < longDelayProbability) {
        random.nextLong(20, 1500)
    } else {
        random.nextLong(1, 12)
    }

    private companion object {
        /** Frame length (4), authentication tag (16), and CBOR envelope (about 13). */
        const val FRAME_OVERHEAD_BYTES = 33L
    }
}
