package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlin.random.Random
import org.hibiscusproxy.consensus.HardState
import org.hibiscusproxy.consensus.LogEntry
import org.hibiscusproxy.consensus.LogStorage
import org.hibiscusproxy.consensus.MemoryLogStorage
import org.hibiscusproxy.consensus.Snapshot
import org.hibiscusproxy.consensus.StorageFailure

/** Storage on a disk that can be full: an append then ends after some entries, others fail whole. */
internal class FillableStorage(private val stored: MemoryLogStorage, private val random: Random) :
    LogStorage by stored {
    var isFull = false

    fun crash() = stored.crash(random)

    override fun saveHardState(state: HardState) = unlessFull { stored.saveHardState(state) }

    override fun append(entries: List<LogEntry>): Result<Unit, StorageFailure> {
        if (isFull) stored.append(entries.take(random.nextInt(entries.size + 1)))
        return unlessFull { stored.append(entries) }
    }

    override fun saveSnapshot(snapshot: Snapshot) = unlessFull { stored.saveSnapshot(snapshot) }

    private fun unlessFull(write: () -> Result<Unit, StorageFailure>) = if (isFull) {
        Err(StorageFailure.InputOutput("writing", "No space left on device"))
    } else {
        write()
    }
}
