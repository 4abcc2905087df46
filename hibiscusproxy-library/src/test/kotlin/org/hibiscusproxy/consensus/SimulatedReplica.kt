package org.hibiscusproxy.consensus

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.ProcessName

/** Storage that fails once after a number of writes, to simulate a crash during a flush. */
class CrashingStorage(private val stored: MemoryLogStorage) : LogStorage by stored {
    var writesUntilCrash = Int.MAX_VALUE

    fun crash(random: Random) {
        stored.crash(random)
        writesUntilCrash = Int.MAX_VALUE
    }

    override fun saveHardState(state: HardState) = write { stored.saveHardState(state) }
    override fun append(entries: List<LogEntry>) = write { stored.append(entries) }
    override fun truncateFrom(index: Long) = write { stored.truncateFrom(index) }
    override fun sync() = write { stored.sync() }
    override fun saveSnapshot(snapshot: Snapshot) = write { stored.saveSnapshot(snapshot) }

    override fun discardThrough(index: Long) = write { stored.discardThrough(index) }
    override fun resetTo(index: Long) = write { stored.resetTo(index) }

    private fun write(action: () -> Result<Unit, StorageFailure>): Result<Unit, StorageFailure> {
        if (writesUntilCrash-- > 0) return action()
        return Err(StorageFailure.InputOutput("simulated write", "crash"))
    }
}

/**
 * A proposal without a known outcome, made when [acknowledgedBefore] was the newest acknowledged
 * index.
 */
data class PendingCommand(
    val term: Long,
    val command: RegisterCommand,
    val acknowledgedBefore: Long,
)

/** A simulated process with a disk; [log] is null while the process is down. */
class SimulatedReplica(
    val settings: ReplicatedLogSettings,
    private val checker: HistoryChecker,
    private val random: Random,
    private val hasDisk: Boolean = true,
) {
    val name: ProcessName get() = settings.name
    val pending = mutableMapOf<Long, PendingCommand>()
    var machine = KeyValueMachine(checker)
        private set
    var log: ReplicatedLog? = null
        private set
    var restartAt = 0L
    var identity = 0L
        private set
    private lateinit var storage: CrashingStorage

    init {
        replaceDisk()
    }

    fun start(now: ComparableTimeMark) {
        machine = KeyValueMachine(checker)
        log = ReplicatedLog.open(settings, storage, machine, random, now)
            .getOrThrow { StorageFailureException(it) }
    }

    fun crash() {
        log = null
        pending.clear()
        storage.crash(random)
    }

    fun crashDuringFlush() {
        storage.writesUntilCrash = random.nextInt(3)
    }

    /** Replaces the disk by an empty one; the process is down afterwards. */
    fun wipe() {
        if (log != null) crash()
        replaceDisk()
    }

    private fun replaceDisk() {
        identity = if (hasDisk) random.nextLong() else NO_IDENTITY
        storage = CrashingStorage(
            if (hasDisk) MemoryLogStorage(identity) else MemoryLogStorage.ofObserver(),
        )
    }
}
