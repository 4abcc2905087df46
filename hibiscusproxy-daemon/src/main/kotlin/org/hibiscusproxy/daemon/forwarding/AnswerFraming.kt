package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/** What marks the end of an answer's body. [text] appears in log lines. */
internal enum class AnswerFraming(val text: String) {
    /** The body has as many bytes as its head states. */
    LENGTH("length"),

    /** The body ends with an empty chunk. */
    CHUNKS("chunks"),

    /** The body ends with its connection. */
    CONNECTION("connection"),
    ;

    companion object {
        /** Returns the framing that [response] states. */
        fun of(response: HttpResponse): AnswerFraming = when {
            HttpUtil.isTransferEncodingChunked(response) -> CHUNKS
            HttpUtil.isContentLengthSet(response) -> LENGTH
            else -> CONNECTION
        }
    }
}
