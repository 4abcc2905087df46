package org.hibiscusproxy.consensus

import com.github.michaelbull.result.getOrThrow
import java.lang.management.ManagementFactory
import java.lang.ref.WeakReference
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against a replica whose memory and disk fill up with changes that newer ones replaced. */
class LogSizeTest {
    @TempDir
    lateinit var folder: Path

    private val time = TestTimeSource()
    private val names = listOf("a", "b", "c").map(::ProcessName)

    /** Keeps the newest command, and counts the bytes of those that are still reachable. */
    private class NewestCommand : StateMachine {
        private val applied = mutableListOf<WeakReference<Payload>>()
        var newest: Payload = Payload.EMPTY
            private set

        override fun apply(index: Long, command: Payload): Payload {
            applied += WeakReference(command)
            newest = command
            return Payload.EMPTY
        }

        override fun snapshot(): Payload = newest

        override fun restore(snapshot: Payload) {
            newest = snapshot
        }

        fun reachableBytes(): Long {
            ManagementFactory.getMemoryMXBean().gc()
            return applied.sumOf { it.get()?.bytes?.size?.toLong() ?: 0 }
        }
    }

    private inner class Replica(val name: ProcessName, private val members: List<ProcessName>) {
        var machine = NewestCommand()
            private set
        private var storage: FileLogStorage? = null
        var log: ReplicatedLog? = null
            private set
        private val path = folder.resolve(name.value)

        fun start() {
            machine = NewestCommand()
            val opened = FileLogStorage.open(path, name.value.hashCode().toLong()).orFail()
            storage = opened
            val settings = ReplicatedLogSettings(name, members)
            log = ReplicatedLog.open(settings, opened, machine, Random(1), time.markNow())
                .getOrThrow { StorageFailureException(it) }
        }

        fun stop() {
            storage?.close()
            log = null
        }

        fun diskBytes(): Long = path.listDirectoryEntries().sumOf { Files.size(it) }

        fun assertBounded(changes: Int) {
            val inMemory = machine.reachableBytes()
            val onDisk = diskBytes()
            val versions = VERSIONS_IN_PROGRESS * COMMAND_BYTES
            assertTrue(
                inMemory <= LOG_BYTES + versions,
                "$inMemory bytes in memory after $changes changes",
            )
            assertTrue(
                onDisk <= LOG_BYTES + SEGMENT_BYTES + versions,
                "$onDisk bytes on disk after $changes changes",
            )
        }
    }

    /** Starts one replica for each of [members] and returns the first leader. */
    private fun cluster(members: List<ProcessName>): List<Replica> {
        val replicas = members.map { Replica(it, members) }.onEach { it.start() }
        elapse(replicas, 5.seconds)
        return replicas
    }

    private fun elapse(replicas: List<Replica>, duration: Duration) {
        val end = time.markNow() + duration
        while (time.markNow() < end) {
            time += 20.milliseconds
            replicas.forEach { it.log?.tick(time.markNow()) }
            exchange(replicas)
        }
    }

    /** Delivers messages until no replica has any. */
    private fun exchange(replicas: List<Replica>) {
        var hasSent = true
        while (hasSent) {
            hasSent = false
            replicas.forEach { replica ->
                val outputs = replica.log?.flush(time.markNow()).orEmpty()
                outputs.filterIsInstance<ConsensusOutput.Send>().forEach { output ->
                    hasSent = true
                    replicas.first { it.name == output.receiver }.log
                        ?.receive(replica.name, output.message, time.markNow())
                }
            }
        }
    }

    private fun List<Replica>.leader() = first { it.log?.isReady == true }

    private fun List<Replica>.change(number: Int) {
        val command = Payload(ByteBuffer.allocate(COMMAND_BYTES).putInt(number).array())
        val result = leader().log?.propose(command, time.markNow())
        assertIs<ProposalResult.Accepted>(result)
        time += 1.milliseconds
        exchange(this)
    }

    @Nested
    inner class `Changes of a large configuration` {
        @Test
        fun `take no more memory and disk after 5000 of them and restarts`() {
            val replicas = cluster(names.take(1))
            (1..5_000).forEach { number ->
                replicas.change(number)
                if (number in listOf(200, 1_000, 5_000)) {
                    replicas.single().assertBounded(number)
                    replicas.single().stop()
                    replicas.single().start()
                    elapse(replicas, 5.seconds)
                    replicas.single().assertBounded(number)
                    assertEquals(number, replicas.single().machine.number())
                }
            }
            replicas.single().stop()
        }

        @Test
        fun `reach a replica that was away while they were made, by a snapshot`() {
            val replicas = cluster(names)
            val away = replicas.first { it != replicas.leader() }
            away.stop()
            (1..200).forEach { replicas.change(it) }
            replicas.filter { it != away }.forEach { it.assertBounded(200) }
            away.start()
            elapse(replicas, 5.seconds)
            assertEquals(200, away.machine.number())
            replicas.forEach { it.assertBounded(200) }
            replicas.forEach { it.stop() }
        }
    }

    @Nested
    inner class `A change` {
        private fun List<Replica>.propose(bytes: Int) =
            leader().log?.propose(Payload(ByteArray(bytes)), time.markNow())

        @Test
        fun `above the largest entry is refused and not applied`() {
            val replicas = cluster(names)
            replicas.change(1)
            val refusal = ProposalRefusal.TooLarge(4_194_305, 4_194_304)
            assertEquals(ProposalResult.Refused(refusal), replicas.propose(4_194_305))
            elapse(replicas, 1.seconds)
            replicas.forEach { assertEquals(1, it.machine.number()) }
            assertIs<ProposalResult.Accepted>(replicas.propose(4_194_304))
            elapse(replicas, 1.seconds)
            replicas.forEach { assertEquals(4_194_304, it.machine.newest.bytes.size) }
            replicas.forEach { it.stop() }
        }

        @Test
        fun `is refused while those before it fill the memory, and accepted after they end`() {
            val replicas = cluster(names)
            val results = (1..30).map { replicas.propose(COMMAND_BYTES) }
            assertEquals(20, results.count { it is ProposalResult.Accepted })
            val refused = assertIs<ProposalResult.Refused>(results.last())
            assertIs<ProposalRefusal.TooManyPending>(refused.refusal)
            elapse(replicas, 1.seconds)
            replicas.change(31)
            elapse(replicas, 1.seconds)
            replicas.forEach { assertEquals(31, it.machine.number()) }
            replicas.forEach { it.stop() }
        }
    }

    private fun NewestCommand.number() = ByteBuffer.wrap(newest.bytes).int

    private companion object {
        /** About the encoded size of a change with 431 routes. */
        const val COMMAND_BYTES = 400_000

        /** Entries since the last snapshot and trailing entries. */
        const val LOG_BYTES = 6L * 1024 * 1024
        const val SEGMENT_BYTES = 1L * 1024 * 1024

        /** The newest, one beyond each of the limits, and in a file two snapshots. */
        const val VERSIONS_IN_PROGRESS = 4L
    }
}
