package org.hibiscusproxy.daemon.controller

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/** Virtual time and a message layer that loses, delays and reorders. */
internal class LossyMessages(val random: Random) {
    val time = TestTimeSource()
    private val start = time.markNow()
    private val messages = mutableListOf<Delayed>()

    fun elapsed(): Duration = start.elapsedNow()

    fun send(deliver: () -> Unit) {
        if (random.nextInt(20) == 0) return
        val delay = if (random.nextInt(20) == 0) random.nextInt(1_000) else random.nextInt(15)
        messages += Delayed(elapsed() + delay.milliseconds, deliver)
    }

    fun advance(step: Duration) {
        time += step
        val due = messages.filter { it.at <= elapsed() }
        messages.removeAll(due)
        due.forEach { it.deliver() }
    }

    private class Delayed(val at: Duration, val deliver: () -> Unit)
}

/** A client's connection to one controller, over lossy messages. */
internal class LossySession(
    override val remote: Hello,
    private val messages: LossyMessages,
    private val receive: (PeerMessage) -> Unit,
) : PeerSession {
    override fun send(message: PeerMessage) = messages.send { receive(message) }

    override fun close() = Unit
}
