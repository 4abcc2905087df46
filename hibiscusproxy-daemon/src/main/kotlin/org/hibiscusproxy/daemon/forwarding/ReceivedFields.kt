package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Creates the fields of heads or trailers with [factory], and counts those of the one that is being
 * received, which the decoder keeps until it is complete.
 */
internal class ReceivedFields(private val factory: HttpHeadersFactory) : HttpHeadersFactory {
    private var fields: HttpHeaders? = null

    /** Number of fields of the head or trailer that is being received. */
    val count: Int get() = fields?.size() ?: 0

    override fun newHeaders(): HttpHeaders = factory.newHeaders().also { fields = it }

    override fun newEmptyHeaders(): HttpHeaders = factory.newEmptyHeaders()

    /** Records that nothing is being received any more. */
    fun complete() {
        fields = null
    }
}
