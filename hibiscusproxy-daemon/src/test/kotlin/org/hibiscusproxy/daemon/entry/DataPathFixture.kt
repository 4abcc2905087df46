package org.hibiscusproxy.daemon.entry

import com.sun.net.httpserver.HttpExchange
import java.io.IOException
import java.net.Socket
import java.net.http.HttpResponse
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.sidecar.Sidecar
import org.hibiscusproxy.daemon.testing.FakeTarget
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.BOOKING
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.chatBody
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.streamOf
import org.hibiscusproxy.daemon.testing.event
import org.hibiscusproxy.daemon.testing.startStream
import org.hibiscusproxy.protocol.CrashReport
import org.junit.jupiter.api.Nested

/** Runs an entry, sidecars and fake targets against a fake controller. */
abstract class DataPathFixture {
    protected val fleet = TestFleet { it.copy(maximumBodyBytes = 50_000) }
    protected val engine = FakeTarget()
    protected val otherEngine = FakeTarget()
    protected val bookingTarget = FakeTarget()
    protected val otherBookingTarget = FakeTarget()
    protected val release = CountDownLatch(1)

    protected val chatPath = "/v1/chat/completions"
    protected val slotsPath = "/slots?day=2"

    @AfterTest
    fun closeFleet() {
        release.countDown()
        listOf(fleet, engine, otherEngine, bookingTarget, otherBookingTarget).forEach { it.close() }
    }

    protected fun start(): Sidecar {
        val sidecar = fleet.sidecar("desk", bookingTarget.url, BOOKING)
        fleet.start(fleet.sidecar("engine", engine.url), sidecar)
        return sidecar
    }

    protected fun startTwoEngines() = fleet.start(
        fleet.sidecar("engine", engine.url),
        fleet.sidecar("other", otherEngine.url),
    )

    protected fun startTwoBookingTargets() = fleet.start(
        fleet.sidecar("desk", bookingTarget.url, BOOKING),
        fleet.sidecar("other", otherBookingTarget.url, BOOKING),
    )

    protected fun calls(path: String, vararg targets: FakeTarget): Int =
        targets.sumOf { it.callsOf(path).size }

    /** Makes the target accept calls and answer them only after [release]. */
    protected fun FakeTarget.blockUntilReleased() {
        behaviour = { _, call ->
            if (!call.path.startsWith("/v1/cancel")) release.await(10, TimeUnit.SECONDS)
            false
        }
    }
}
