package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpResponse

/**
 * Whether the head of this response holds a second status line, so that it is made of the start of
 * one response, which was cut, and of another that follows it. The decoder rejects a status line in
 * the place of a header's name.
 */
internal fun HttpResponse.holdsAnotherStatusLine(): Boolean =
    status().reasonPhrase().holdsStatusLine() || headers().any { it.value.holdsStatusLine() }

private fun String.holdsStatusLine(): Boolean =
    PROTOCOL in this && STATUS_LINE.containsMatchIn(this)

private const val PROTOCOL = "HTTP/"
private val STATUS_LINE = Regex("HTTP/\\d\\.\\d +\\d{3}")
