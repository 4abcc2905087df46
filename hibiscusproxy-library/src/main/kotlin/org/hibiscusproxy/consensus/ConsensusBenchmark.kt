package org.hibiscusproxy.consensus

import com.github.michaelbull.result.getOrThrow
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.createTempDirectory
import kotlin.io.path.deleteRecursively
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TestTimeSource
import kotlin.time.measureTime
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * Measures the commit throughput and the time to recover a log on the disk of a folder. The
 * replicas of a group run in turn on one thread, so a command waits for the syncs of all of them in
 * sequence.
 */
class ConsensusBenchmark(private val folder: Path) {
    private val command = EntryContent.Command(Payload(ByteArray(COMMAND_BYTES)))

    /** Commands per second that [replicas] replicas apply in batches of [batch]. */
    fun commandsPerSecond(replicas: Int, batch: Int, batches: Int): Double {
        val group = ReplicaGroup(folder.resolve("group-$replicas-$batch"), replicas)
        group.runUntil { it.isReady }
        repeat(WARM_UP_BATCHES) { group.commit(command.payload, batch) }
        val elapsed = measureTime {
            repeat(batches) { group.commit(command.payload, batch) }
        }
        group.close()
        return batch * batches / elapsed.toDouble(DurationUnit.SECONDS)
    }

    /** Median time in milliseconds to recover a log of [entries] entries, a multiple of 1,000. */
    fun recoveryMilliseconds(entries: Int): Double {
        val path = folder.resolve("recovery-$entries")
        openStorage(path).use { storage ->
            storage.recover().orFail()
            for (first in 1L..entries step RECOVERY_BATCH) {
                val batch = List(RECOVERY_BATCH.toInt()) { LogEntry(1, first + it, command) }
                storage.append(batch).orFail()
            }
            storage.sync().orFail()
        }
        val times = List(RECOVERIES) {
            measureTime { openStorage(path).use { it.recover().orFail() } }
        }
        return times.sorted()[RECOVERIES / 2].toDouble(DurationUnit.MILLISECONDS)
    }

    private companion object {
        const val COMMAND_BYTES = 200
        const val WARM_UP_BATCHES = 100
        const val RECOVERY_BATCH = 1_000L
        const val RECOVERIES = 5
    }
}

/** Replicas with file storage that exchange messages in memory, in virtual time. */
private class ReplicaGroup(folder: Path, size: Int) : AutoCloseable {
    private val time = TestTimeSource()
    private val names = (1..size).map { ProcessName("c$it") }
    private val storages = names.map { openStorage(folder.resolve(it.value)) }
    private val replicas = names.zip(storages).associate { (name, storage) ->
        val settings = ReplicatedLogSettings(name, names)
        val random = Random(name.value.hashCode())
        val log = ReplicatedLog.open(settings, storage, StatelessMachine, random, time.markNow())
        name to log.getOrThrow { StorageFailureException(it) }
    }

    private val leader: ReplicatedLog?
        get() = replicas.values.firstOrNull { it.role == ConsensusRole.LEADER }

    fun runUntil(condition: (ReplicatedLog) -> Boolean) {
        while (leader?.let(condition) != true) {
            time += 10.milliseconds
            replicas.values.forEach { it.tick(time.markNow()) }
            exchange()
        }
    }

    fun commit(command: Payload, count: Int) {
        val leading = checkNotNull(leader)
        val index = leading.appliedIndex + count
        repeat(count) { leading.propose(command, time.markNow()) }
        while (leading.appliedIndex < index) exchange()
    }

    override fun close() = storages.forEach { it.close() }

    private fun exchange() {
        replicas.forEach { (sender, log) ->
            log.flush(time.markNow()).filterIsInstance<ConsensusOutput.Send>().forEach {
                replicas.getValue(it.receiver).receive(sender, it.message, time.markNow())
            }
        }
    }
}

private object StatelessMachine : StateMachine {
    override fun apply(index: Long, command: Payload): Payload = Payload.EMPTY

    override fun snapshot(): Payload = Payload.EMPTY

    override fun restore(snapshot: Payload) = Unit
}

private fun openStorage(folder: Path): FileLogStorage =
    FileLogStorage.open(folder, newIdentity = Random.nextLong()).orFail()

/** Runs the benchmark in a temporary folder inside the given one and deletes it afterwards. */
@OptIn(ExperimentalPathApi::class)
fun main(arguments: Array<String>) {
    val parent = Path.of(arguments.firstOrNull() ?: ".")
    Files.createDirectories(parent)
    val folder = createTempDirectory(parent, "consensus-benchmark")
    try {
        val benchmark = ConsensusBenchmark(folder)
        listOf(1, 3).forEach { replicas ->
            listOf(1, 10, 100).forEach { batch ->
                val rate = benchmark.commandsPerSecond(replicas, batch, batches = 1_000)
                println("replicas=$replicas batch=$batch commands/s=${rate.toLong()}")
            }
        }
        listOf(1_000, 10_000, 100_000).forEach { entries ->
            val milliseconds = benchmark.recoveryMilliseconds(entries)
            println("entries=$entries recovery=%.1f ms".format(milliseconds))
        }
    } finally {
        folder.deleteRecursively()
    }
}
