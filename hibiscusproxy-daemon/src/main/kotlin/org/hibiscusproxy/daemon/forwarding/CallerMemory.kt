package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.CallerMemoryBudget
import org.hibiscusproxy.forwarding.Excess

/** Memory that callers' connections hold, and what happens at its limit. Used on the event loop. */
internal class CallerMemory(
    limitBytes: Long,
    private val log: RequestLog,
    time: TimeSource.WithComparableMarks,
) {
    val budget = CallerMemoryBudget<CallerConnection>(limitBytes, time)

    /** Has connections give up memory if [grown] has brought the total above the limit. */
    fun shed(grown: CallerMemoryBudget<CallerConnection>.Holding) {
        for (excess in budget.excess(grown)) {
            val used = budget.usedBytes
            when (excess) {
                is Excess.Body -> excess.owner.shedBody(HttpResponseStatus.REQUEST_TIMEOUT)
                is Excess.Refused -> excess.owner.shedBody(HttpResponseStatus.SERVICE_UNAVAILABLE)
                is Excess.Pipelined, is Excess.Answer -> excess.owner.closeForOthers()
            }
            val kind = when (excess) {
                is Excess.Body -> "body"
                is Excess.Refused -> "refused"
                is Excess.Pipelined -> "pipelined"
                is Excess.Answer -> "answer"
            }
            log.memoryShed(kind, used - budget.usedBytes, used)
        }
    }
}
