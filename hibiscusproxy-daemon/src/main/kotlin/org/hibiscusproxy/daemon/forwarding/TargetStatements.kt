package org.hibiscusproxy.daemon.forwarding

import org.hibiscusproxy.forwarding.LoadStatement
import org.hibiscusproxy.forwarding.StatedPause
import org.hibiscusproxy.forwarding.StatedRate
import org.hibiscusproxy.forwarding.markCold
import org.hibiscusproxy.forwarding.recordLeaving
import org.hibiscusproxy.forwarding.recordPause
import org.hibiscusproxy.model.TargetName

/** Records what [target] states about itself in the heads of its responses. */
internal class TargetStatements(private val node: ForwardingNode, private val target: TargetName) {
    /** Records the head of a response with [status]. Returns whether the target leaves. */
    fun record(metadata: ResponseMetadata, status: Int): Boolean {
        metadata.coldDuration?.let { node.selector.markCold(target, it) }
        if (metadata.execution == ExecutionStatus.OTHER_TARGET) return false
        recordRate(metadata, status)
        recordPause(metadata.statedPause)
        recordLoad(metadata.load)
        if (metadata.isLeaving) recordLeaving()
        return metadata.isLeaving
    }

    /** Only a valid answer withdraws a rate; failures may come without the target's headers. */
    private fun recordRate(metadata: ResponseMetadata, status: Int) {
        val rate = metadata.statedRate
        val isValid = metadata.isSigned && status in SUCCESS_STATUSES
        if (rate is StatedRate.Unlimited && !isValid) return
        if (node.selector.recordStatedRate(target, rate)) {
            node.log.statedRateChanged(target.value, rate)
        }
    }

    private fun recordPause(pause: StatedPause) = when (pause) {
        is StatedPause.None -> Unit
        is StatedPause.Lasting -> node.selector.recordPause(target, pause.duration)
        is StatedPause.Unreadable -> node.log.unreadablePause(target.value)
    }

    private fun recordLoad(load: LoadStatement) = when (load) {
        is LoadStatement.None -> Unit
        is LoadStatement.Known -> node.selector.recordLoad(target, load)
        is LoadStatement.Malformed -> node.log.malformedLoad(target)
    }

    private fun recordLeaving() {
        node.pool.closeIdle(target)
        if (node.selector.recordLeaving(target)) node.log.statedLeaving(target.value)
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}
