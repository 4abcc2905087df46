package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Finds the status line of a response within another one. A response that was cut takes in what
 * follows it, so the response to the next request shows by its status line in the place of header
 * values or of a body. The decoder itself rejects one in the place of a header's name.
 */
internal class StatusLineSearch {
    private var lastText = ""

    /** Whether a status line ends within [bytes], which may have begun in the bytes before them. */
    fun endsWithin(bytes: ByteBuf): Boolean {
        val text = lastText + bytes.toString(Charsets.ISO_8859_1)
        lastText = text.takeLast(LONGEST_MATCH)
        return holdsStatusLine(text)
    }

    companion object {
        private const val PROTOCOL = "HTTP/"

        /** Characters kept between two parts of a body, for a status line that they share. */
        private const val LONGEST_MATCH = 32
        private val STATUS_LINE = Regex("HTTP/\\d\\.\\d {1,8}\\d{3}")

        /** Whether [text] holds the start of a status line, with its code. */
        fun holdsStatusLine(text: String): Boolean =
            PROTOCOL in text && STATUS_LINE.containsMatchIn(text)

        /** Whether the head of [response] holds a second status line. */
        fun holdsAnother(response: HttpResponse): Boolean =
            holdsStatusLine(response.status().reasonPhrase()) || holdsStatusLine(response.headers())

        /** Whether a value of [headers] holds a status line. */
        fun holdsStatusLine(headers: HttpHeaders): Boolean =
            headers.any { holdsStatusLine(it.value) }
    }
}
