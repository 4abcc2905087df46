package org.hibiscusproxy

import com.github.michaelbull.result.getOrThrow
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.consensus.ConsensusOutput
import org.hibiscusproxy.consensus.FileLogStorage
import org.hibiscusproxy.consensus.ProposalResult
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.consensus.ReplicatedLogSettings
import org.hibiscusproxy.consensus.StateMachine
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** The example of the embedding page. Guards against a library that cannot be used on its own. */
class EmbeddingExampleTest {
    @TempDir
    lateinit var folder: Path
    private val time = TestTimeSource()

    /** A counter that answers each command with its new value. */
    private class Counter : StateMachine {
        private var value = 0L

        override fun apply(index: Long, command: Payload): Payload {
            value += command.bytes.decodeToString().toLong()
            return Payload.of("$value")
        }

        override fun snapshot(): Payload = Payload.of("$value")

        override fun restore(snapshot: Payload) {
            value = snapshot.bytes.decodeToString().toLong()
        }
    }

    private fun open(storage: FileLogStorage): ReplicatedLog {
        val name = ProcessName("only")
        val settings = ReplicatedLogSettings(name, bootstrap = listOf(name))
        val log = ReplicatedLog.open(settings, storage, Counter(), Random(1), time.markNow())
            .getOrThrow { AssertionError("$it") }
        while (!log.isReady) advance(log)
        return log
    }

    /** One round of an embedding program's loop. */
    private fun advance(log: ReplicatedLog): List<ConsensusOutput> {
        time += 100.milliseconds
        log.tick(time.markNow())
        return log.flush(time.markNow())
    }

    private fun storage(): FileLogStorage =
        FileLogStorage.open(folder, newIdentity = 1).getOrThrow { AssertionError("$it") }

    private fun add(log: ReplicatedLog, amount: Int): String {
        val accepted = assertIs<ProposalResult.Accepted>(
            log.propose(Payload.of("$amount"), time.markNow()),
        )
        val outputs = log.flush(time.markNow()) + advance(log)
        val applied = outputs.filterIsInstance<ConsensusOutput.Applied>()
        return applied.single { it.index == accepted.index }.result.bytes.decodeToString()
    }

    @Nested
    inner class ReplicatedCounter {
        @Test
        fun `answers proposals and keeps its value over a restart`() {
            storage().use { storage ->
                val log = open(storage)
                assertEquals("3", add(log, 3))
                assertEquals("7", add(log, 4))
            }
            storage().use { storage -> assertEquals("8", add(open(storage), 1)) }
        }
    }
}
