package org.hibiscusproxy.daemon.controller

import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hibiscusproxy.consensus.StorageFailureException
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Runs a [ControllerCore] on a thread of its own. It takes all inputs that wait, up to a batch, and
 * then turns the core once, so that one sync to disk serves many inputs.
 */
internal class ControllerWorker(private val core: ControllerCore, private val tick: Duration) :
    AutoCloseable {
    private val thread = Executors.newSingleThreadExecutor { task ->
        Thread(task, "controller").apply { isDaemon = true }
    }
    private val dispatcher = thread.asCoroutineDispatcher()
    private val inbox = Channel<ControllerInput>(INBOX_SIZE)
    private var job: Job? = null

    /** Completes when the worker has stopped by itself, with the reason. */
    val failure = CompletableDeferred<Throwable>()

    /** Queues [input]; suspends while too many wait. */
    suspend fun submit(input: ControllerInput) {
        runCatching { inbox.send(input) }
    }

    /** Queues [input] unless too many wait or the worker has stopped. */
    fun trySubmit(input: ControllerInput): Boolean = inbox.trySend(input).isSuccess

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(tick)
                inbox.trySend(ControllerInput.Tick)
            }
        }
        job = scope.launch(dispatcher) {
            try {
                while (true) runOnce()
            } catch (thrown: CancellationException) {
                throw thrown
            } catch (thrown: StorageFailureException) {
                LOG.error("controller: stopped, {}", thrown.failure.message)
                stopped(thrown)
            } catch (thrown: Throwable) {
                LOG.error("controller: stopped by a fault", thrown)
                stopped(thrown)
            }
        }
    }

    private suspend fun runOnce() {
        var input: ControllerInput? = inbox.receive()
        var taken = 0
        while (input != null) {
            core.handle(input)
            taken += 1
            input = if (taken < MAXIMUM_BATCH) inbox.tryReceive().getOrNull() else null
        }
        core.turn()
    }

    private fun stopped(thrown: Throwable) {
        inbox.close(thrown)
        failure.complete(thrown)
    }

    /** Stops the worker after the turn in progress and waits for it. */
    suspend fun stop() {
        job?.cancel()
        job?.join()
        inbox.close()
    }

    override fun close() = dispatcher.close()

    private companion object {
        const val INBOX_SIZE = 4_096
        const val MAXIMUM_BATCH = 512
        val LOG: Logger = LoggerFactory.getLogger(ControllerWorker::class.java)
    }
}
