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
 * Writes the tokens of a request to an HTTP response with non-blocking I/O. Tokens are not buffered
 * for a slow client because they can be recomputed at any time. All state is guarded by the lock of
 * this object.
 *
 * @param onClose called once, immediately before the response ends
 */
class ResponseWriter(
    private val engineName: String,
    private val request: EngineRequest,
    private val context: AsyncContext,
    private var position: Int,
    private val isStream: Boolean,
    private val onClose: (ResponseWriter) -> Unit,
) : TokenListener,
    WriteListener {
    private val output: ServletOutputStream = context.response.outputStream
    private var isOutputReady = false
    private var needsFlush = false
    private var isComplete = false
    private var isClosed = false

    @Synchronized
    override fun requestChanged() = writePending()

    @Synchronized
    override fun onWritePossible() {
        isOutputReady = true
        writePending()
    }

    override fun onError(failure: Throwable) = close()

    /** Ends the response, either because it is complete or because the client disconnected. */
    @Synchronized
    fun close() {
        if (isClosed) return
        isClosed = true
        onClose(this)
        runCatching { context.complete() }
    }

    /** Also runs on the engine's thread, so exceptions of a broken connection must not escape. */
    private fun writePending() {
        try {
            writeWhileReady()
        } catch (failure: IOException) {
            close()
        } catch (failure: IllegalStateException) {
            close()
        }
    }

    private fun writeWhileReady() {
        while (isOutputReady && !isClosed) {
            if (needsFlush) {
                needsFlush = false
                output.flush()
            } else if (isComplete) {
                close()
                return
            } else {
                val next = nextBytes() ?: return
                needsFlush = true
                output.write(next)
            }
            isOutputReady = output.isReady
        }
    }

    /** Next bytes to write; null when no token is available yet. */
    private fun nextBytes(): ByteArray? {
        val state = request.state
        if (isStream) {
            if (position < request.generated) return tokenEvent()
            if (!state.isFinal) return null
            isComplete = true
            if (state ==
                RequestState.CANCELLED
            ) {
                return event(standInJson.encodeToString(cancelledBody()))
            }
            return finalEvents()
        }
        if (!state.isFinal) return null
        isComplete = true
        return completeBody(state).encodeToByteArray()
    }

    private fun tokenEvent(): ByteArray {
        val role = if (position == 0) ASSISTANT else null
        val delta = Delta(role, request.answer.streamedTokenAt(position))
        return event(standInJson.encodeToString(chunk(ChunkChoice(delta)))).also { position++ }
    }

    private fun finalEvents(): ByteArray {
        val last = chunk(ChunkChoice(Delta(), FINISH_REASON)).copy(usage = request.usage())
        return event(standInJson.encodeToString(last)) + event(END_OF_STREAM)
    }

    private fun chunk(choice: ChunkChoice) = ChatChunk(
        id = request.requestId,
        created = request.created,
        model = request.model,
        engine = engineName,
        choices = listOf(choice),
        sentAt = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
        tokenIndex = position,
    )

    private fun completeBody(state: RequestState): String {
        if (state == RequestState.CANCELLED) return standInJson.encodeToString(cancelledBody())
        val message = ChatMessage(ASSISTANT, request.answer.text(request.generated))
        val response = ChatResponse(
            id = request.requestId,
            created = request.created,
            model = request.model,
            engine = engineName,
            choices = listOf(Choice(message, FINISH_REASON)),
            usage = request.usage(),
        )
        return standInJson.encodeToString(response)
    }

    private fun cancelledBody() =
        ErrorBody(ErrorDetails("cancelled", "request was cancelled", request.requestId))

    private fun event(data: String): ByteArray = "data: $data\n\n".encodeToByteArray()

    private companion object {
        const val ASSISTANT = "assistant"
        const val FINISH_REASON = "length"
        const val END_OF_STREAM = "[DONE]"
    }
}
