package org.hibiscusproxy.daemon.forwarding

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.slf4j.LoggerFactory

/** Guards against retries beyond the limit that nothing tells afterwards. */
class RetryLogTest {
    private val time = TestTimeSource()
    private val registry = SimpleMeterRegistry()
    private val retries = RetryLog(registry, RequestLog(registry, time), time)
    private val orders = ServiceName("orders")
    private val logger =
        LoggerFactory.getLogger("org.hibiscusproxy.daemon.forwarding.DecisionLog") as Logger
    private val lines = ListAppender<ILoggingEvent>().also {
        it.start()
        logger.addAppender(it)
    }

    @AfterEach
    fun removeAppender() {
        logger.detachAppender(lines)
    }

    private val messages: List<String>
        get() = lines.list.map { it.formattedMessage }.filter { "event=retries" in it }

    private fun count(decision: String) = registry
        .get("forwarder.retries").tags("service", "orders", "decision", decision).counter().count()

    @Nested
    inner class Retries {
        @Test
        fun `are counted by service and decision`() {
            repeat(3) { retries.record(orders, isAllowed = true, forwarders = 4) }
            retries.record(orders, isAllowed = false, forwarders = 4)
            assertEquals(3.0, count("allowed"))
            assertEquals(1.0, count("denied"))
        }

        @Test
        fun `are logged once for each service in five seconds, with the count of forwarders`() {
            repeat(20) {
                repeat(50) { retries.record(orders, isAllowed = true, forwarders = 4) }
                repeat(100) { retries.record(orders, isAllowed = false, forwarders = 5) }
                retries.writeIfDue()
                time += 0.25.seconds
            }
            assertEquals(0, messages.size)
            retries.writeIfDue()
            retries.writeIfDue()
            val line = "forwarder: event=retries service=orders allowed=1000 denied=2000 " +
                "forwarders=5 milliseconds=5000"
            assertEquals(listOf(line), messages)
        }

        @Test
        fun `leave no line if there are none`() {
            time += 60.seconds
            retries.writeIfDue()
            assertEquals(0, messages.size)
        }
    }
}
