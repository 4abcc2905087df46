package org.hibiscusproxy.standins.engine

import jakarta.servlet.AsyncContext
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import java.io.IOException
import java.time.Instant
import java.time.temporal.ChronoUnit
import kotlinx.serialization.encodeToString
import org.hibiscusproxy.standins.answers.ChatChunk
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.ChatResponse
import org.hibiscusproxy.standins.answers.Choice
import org.hibiscusproxy.standins.answers.ChunkChoice
import org.hibiscusproxy.standins.answers.Delta
import org.hibiscusproxy.standins.answers.ErrorBody
import org.hibiscusproxy.standins.answers.ErrorDetails
import org.hibiscusproxy.standins.answers.standInJson

/**
 * Writes a run's tokens to one HTTP response without ever blocking a thread. A reader that is
 * slower than the engine falls behind by itself; the tokens need no buffer because they can be
 * generated again. Its lock guards all its state.
 *
 * @param gone called once, right before the response ends
 */
class ResponseWriter(
    private val engineName: String,
    private val run: EngineRequest,
    private val context: AsyncContext,
    private var position: Int,
    private val isStream: Boolean,
    private val gone: (ResponseWriter) -> Unit,
) : TokenListener,
    WriteListener {
    private val output: ServletOutputStream = context.response.outputStream
    private var mayWrite = false
    private var flushIsDue = false
    private var allIsWritten = false
    private var isClosed = false

    @Synchronized
    override fun requestChanged() = pump()

    @Synchronized
    override fun onWritePossible() {
        mayWrite = true
        pump()
    }

    override fun onError(failure: Throwable) = close()

    /** Ends the response, because it is complete or because the caller left. */
    @Synchronized
    fun close() {
        if (isClosed) return
        isClosed = true
        gone(this)
        runCatching { context.complete() }
    }

    /** Runs on the engine's thread too, which a broken connection of one caller must not stop. */
    private fun pump() {
        try {
            writeAll()
        } catch (failure: IOException) {
            close()
        } catch (failure: IllegalStateException) {
            close()
        }
    }

    private fun writeAll() {
        while (mayWrite && !isClosed) {
            if (flushIsDue) {
                flushIsDue = false
                output.flush()
            } else if (allIsWritten) {
                close()
                return
            } else {
                val next = nextBytes() ?: return
                flushIsDue = true
                output.write(next)
            }
            mayWrite = output.isReady
        }
    }

    /** What to write now; null when the engine has to go on first. */
    private fun nextBytes(): ByteArray? {
        val state = run.state
        if (isStream) {
            if (position < run.produced) return tokenEvent()
            if (!state.isFinal) return null
            allIsWritten = true
            if (state ==
                RequestState.CANCELLED
            ) {
                return event(standInJson.encodeToString(cancelledBody()))
            }
            return lastEvents()
        }
        if (!state.isFinal) return null
        allIsWritten = true
        return wholeBody(state).encodeToByteArray()
    }

    private fun tokenEvent(): ByteArray {
        val role = if (position == 0) ASSISTANT else null
        val delta = Delta(role, run.answer.streamedTokenAt(position))
        return event(standInJson.encodeToString(chunk(ChunkChoice(delta)))).also { position++ }
    }

    private fun lastEvents(): ByteArray {
        val last = chunk(ChunkChoice(Delta(), FINISH_REASON)).copy(usage = run.usage())
        return event(standInJson.encodeToString(last)) + event(END_OF_STREAM)
    }

    private fun chunk(choice: ChunkChoice) = ChatChunk(
        id = run.requestId,
        created = run.created,
        model = run.model,
        engine = engineName,
        choices = listOf(choice),
        sentAt = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
        tokenIndex = position,
    )

    private fun wholeBody(state: RequestState): String {
        if (state == RequestState.CANCELLED) return standInJson.encodeToString(cancelledBody())
        val message = ChatMessage(ASSISTANT, run.answer.text(run.produced))
        val response = ChatResponse(
            id = run.requestId,
            created = run.created,
            model = run.model,
            engine = engineName,
            choices = listOf(Choice(message, FINISH_REASON)),
            usage = run.usage(),
        )
        return standInJson.encodeToString(response)
    }

    private fun cancelledBody() =
        ErrorBody(ErrorDetails("cancelled", "the request was cancelled", run.requestId))

    private fun event(data: String): ByteArray = "data: $data\n\n".encodeToByteArray()

    private companion object {
        const val ASSISTANT = "assistant"
        const val FINISH_REASON = "length"
        const val END_OF_STREAM = "[DONE]"
    }
}
