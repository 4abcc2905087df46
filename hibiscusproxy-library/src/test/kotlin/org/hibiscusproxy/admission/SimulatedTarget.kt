package org.hibiscusproxy.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** A target of a plain service, which runs [slots] requests and queues up to [queueSize] more. */
internal class SimulatedTarget(private val slots: Int, private val queueSize: Int) {
    private class Work(val duration: Duration, val onEnd: () -> Unit) {
        var endsAt: ComparableTimeMark? = null
    }

    private val running = ArrayList<Work>()
    private val queue = ArrayDeque<Work>()

    val freeSlots: Int get() = slots - running.size
    val waiting: Int get() = queue.size
    val inProgress: Int get() = running.size + queue.size

    /** Takes work of [duration], or returns false if the queue is full. */
    fun offer(now: ComparableTimeMark, duration: Duration, onEnd: () -> Unit): Boolean {
        val work = Work(duration, onEnd)
        when {
            running.size < slots -> start(work, now)
            queue.size < queueSize -> queue += work
            else -> return false
        }
        return true
    }

    private fun start(work: Work, now: ComparableTimeMark) {
        work.endsAt = now + work.duration
        running += work
    }

    /** Ends the work that is done by [now] and starts what waits. */
    fun advance(now: ComparableTimeMark) {
        val ended = running.filter { it.endsAt.let { end -> end != null && end <= now } }
        running -= ended.toSet()
        while (running.size < slots && queue.isNotEmpty()) start(queue.removeFirst(), now)
        ended.forEach { it.onEnd() }
    }

    /** Drops all work, as a crash does. */
    fun clear() {
        running.clear()
        queue.clear()
    }
}
