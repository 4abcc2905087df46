package org.hibiscusproxy.daemon.controller

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/** A network in virtual time that drops, delays and reorders messages. */
internal class LossyNetwork(val random: Random) {
    val time = TestTimeSource()
    private val start = time.markNow()
    private val messages = mutableListOf<DelayedMessage>()

    fun elapsed(): Duration = start.elapsedNow()

    fun send(deliver: () -> Unit) {
        if (random.nextInt(20) == 0) return
        val delay = if (random.nextInt(20) == 0) random.nextInt(1_000) else random.nextInt(15)
        messages += DelayedMessage(elapsed() + delay.milliseconds, deliver)
    }

    fun advance(step: Duration) {
        time += step
        val due = messages.filter { it.at <= elapsed() }
        messages.removeAll(due)
        due.forEach { it.deliver() }
    }

    private class DelayedMessage(val at: Duration, val deliver: () -> Unit)
}

/** A client's connection to one controller over a [LossyNetwork]. */
internal class LossySession(
    override val remote: Hello,
    private val network: LossyNetwork,
    private val receive: (PeerMessage) -> Unit,
) : PeerSession {
    override fun send(message: PeerMessage) = network.send { receive(message) }

    override fun close() = Unit
}
