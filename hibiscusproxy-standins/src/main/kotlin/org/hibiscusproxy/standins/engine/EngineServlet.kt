package org.hibiscusproxy.standins.engine

import jakarta.servlet.http.HttpServlet
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import java.util.UUID
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.answers.ErrorBody
import org.hibiscusproxy.standins.answers.ErrorDetails
import org.hibiscusproxy.standins.answers.standInJson

/** Serves the asynchronous routes: chat completions and the resumption of their streams. */
class EngineServlet(private val name: String, private val engine: Engine) : HttpServlet() {
    override fun doPost(request: HttpServletRequest, response: HttpServletResponse) {
        engine.awaitResponsive()
        val requestId = request.getHeader("X-Request-Id") ?: UUID.randomUUID().toString()
        val chat: ChatRequest
        val priority: Priority
        try {
            chat = readChat(request)
            priority = readPriority(request)
        } catch (failure: IllegalArgumentException) {
            response.fail(400, "invalid-request", failure.message.orEmpty(), requestId)
            return
        }
        val engineRequest = EngineRequest.of(requestId, chat, priority)
        if (!engine.submit(engineRequest)) {
            response.setHeader("Retry-After", "1")
            response.fail(503, "overloaded", "request queue is full", requestId)
            return
        }
        response.setHeader("X-Request-Id", requestId)
        respond(request, response, engineRequest, from = 0, isStream = chat.stream)
    }

    override fun doGet(request: HttpServletRequest, response: HttpServletResponse) {
        engine.awaitResponsive()
        val requestId = request.pathInfo.orEmpty().removePrefix("/")
        val from = request.getParameter("from")?.toIntOrNull() ?: 0
        val engineRequest = engine.find(requestId)
        if (engineRequest == null) {
            response.fail(404, "unknown-request", "unknown request: $requestId", requestId)
            return
        }
        if (engineRequest.state == RequestState.CANCELLED) {
            response.fail(410, "cancelled", "request was cancelled", requestId)
            return
        }
        if (from !in 0..engineRequest.maximumTokens) {
            response.fail(400, "invalid-request", "from is out of range: $from", requestId)
            return
        }
        respond(request, response, engineRequest, from, isStream = true)
    }

    private fun respond(
        request: HttpServletRequest,
        response: HttpServletResponse,
        engineRequest: EngineRequest,
        from: Int,
        isStream: Boolean,
    ) {
        response.contentType = if (isStream) "text/event-stream" else "application/json"
        val context = request.startAsync()
        context.timeout = 0
        val watcher = DisconnectWatcher(request)
        val writer = ResponseWriter(name, engineRequest, context, from, isStream) {
            watcher.stop()
            engine.detach(engineRequest, it)
        }
        watcher.start(writer::close)
        engine.attach(engineRequest, writer)
        context.response.outputStream.setWriteListener(writer)
    }

    private fun readChat(request: HttpServletRequest): ChatRequest {
        val chat = try {
            standInJson.decodeFromString<ChatRequest>(
                request.inputStream.readAllBytes().decodeToString(),
            )
        } catch (failure: SerializationException) {
            throw IllegalArgumentException("invalid chat request: ${failure.message}", failure)
        }
        require(chat.messages.isNotEmpty()) { "messages must not be empty" }
        require(chat.maximumTokens in 1..MAXIMUM_ANSWER_TOKENS) {
            "max_tokens must be in 1..$MAXIMUM_ANSWER_TOKENS: ${chat.maximumTokens}"
        }
        return chat
    }

    private fun readPriority(request: HttpServletRequest): Priority {
        val text = request.getHeader("X-Priority") ?: return Priority.NORMAL
        return requireNotNull(Priority.entries.find { it.name.equals(text, ignoreCase = true) }) {
            "X-Priority must be interactive, normal or background: $text"
        }
    }

    private fun HttpServletResponse.fail(
        status: Int,
        type: String,
        message: String,
        requestId: String,
    ) {
        this.status = status
        contentType = "application/json"
        val body = ErrorBody(ErrorDetails(type, message, requestId))
        outputStream.write(standInJson.encodeToString(body).encodeToByteArray())
    }

    private companion object {
        const val MAXIMUM_ANSWER_TOKENS = 100_000
        const val serialVersionUID = 1L
    }
}
