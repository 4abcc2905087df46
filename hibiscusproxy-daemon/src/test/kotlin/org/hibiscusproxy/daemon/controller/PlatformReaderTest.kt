package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.hibiscusproxy.daemon.testing.RepeatingTarget
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil

class PlatformReaderTest {
    private val version = AtomicLong()
    private val platform =
        RepeatingTarget { """{"version":${version.incrementAndGet()},"instances":[]}""" }
    private val scope = CoroutineScope(Dispatchers.IO)
    private val versions = CopyOnWriteArrayList<Long>()
    private val reader = PlatformReader(platform.url, 10.milliseconds, { true }) {
        versions += it.version
    }

    @AfterTest
    fun close() {
        scope.cancel()
        listOf(reader, platform).forEach { it.close() }
    }

    @Test
    fun `a late second answer is not taken as the next list`() {
        reader.start(scope)
        awaitUntil { versions.size >= 3 }
        assertEquals(listOf(1L, 2L, 3L), versions.take(3))
    }
}
