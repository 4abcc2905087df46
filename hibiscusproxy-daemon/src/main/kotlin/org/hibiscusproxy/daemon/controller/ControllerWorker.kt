package org.hibiscusproxy.daemon.controller

import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
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
 * Runs a [ControllerCore] on a dedicated thread. Each cycle processes the queued inputs up to the
 * maximum batch size and then advances the core once, so that many inputs share one disk sync.
 */
internal class ControllerWorker(
    private val core: ControllerCore,
    private val tickInterval: Duration,
) : AutoCloseable {
    private val thread = Executors.newSingleThreadExecutor { task ->
        Thread(task, "controller").apply { isDaemon = true }
    }
    private val dispatcher = thread.asCoroutineDispatcher()
    private val inputs = Channel<ControllerInput>(QUEUE_CAPACITY)
    private var job: Job? = null

    /** Completes with the cause if the worker stops on its own. */
    val failure = CompletableDeferred<Throwable>()

    /** Queues [input], suspending while the queue is full. Does nothing after the worker stopped. */
    suspend fun submit(input: ControllerInput) {
        runCatching { inputs.send(input) }
    }

    /** Queues [input]; returns false if the queue is full or the worker has stopped. */
    fun trySubmit(input: ControllerInput): Boolean = inputs.trySend(input).isSuccess

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(tickInterval)
                inputs.trySend(ControllerInput.Tick)
            }
        }
        job = scope.launch(dispatcher) {
            try {
                while (true) runCycle()
            } catch (thrown: CancellationException) {
                throw thrown
            } catch (thrown: StorageFailureException) {
                LOG.error("controller: stopped by a storage failure, {}", thrown.failure.message)
                fail(thrown)
            } catch (thrown: Throwable) {
                LOG.error("controller: stopped by an unexpected exception", thrown)
                fail(thrown)
            }
        }
    }

    private suspend fun runCycle() {
        var input: ControllerInput? = inputs.receive()
        val startedAt = TimeSource.Monotonic.markNow()
        var processed = 0
        while (input != null) {
            core.handle(input)
            processed += 1
            input = if (processed < MAXIMUM_BATCH_SIZE) inputs.tryReceive().getOrNull() else null
        }
        val handled = startedAt.elapsedNow()
        core.advance()
        logIfSlow(processed, handled, startedAt.elapsedNow())
    }

    private fun logIfSlow(processed: Int, handled: Duration, total: Duration) {
        if (total < SLOW_CYCLE) return
        LOG.warn(
            "controller: slow cycle, {} inputs took {} ms, advancing the core {} ms",
            processed,
            handled.inWholeMilliseconds,
            (total - handled).inWholeMilliseconds,
        )
    }

    private fun fail(thrown: Throwable) {
        inputs.close(thrown)
        failure.complete(thrown)
    }

    /** Stops the worker after the current cycle and waits until it has ended. */
    suspend fun stop() {
        job?.cancel()
        job?.join()
        inputs.close()
    }

    override fun close() = dispatcher.close()

    private companion object {
        const val QUEUE_CAPACITY = 4_096
        const val MAXIMUM_BATCH_SIZE = 512

        /** Heartbeats wait for a cycle to end, so a few of these cost an election. */
        val SLOW_CYCLE = 100.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(ControllerWorker::class.java)
    }
}
