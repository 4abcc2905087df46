package org.hibiscusproxy.daemon

/**
 * Follows the lines of a stream of server-sent events and tells whether its bytes so far end
 * between two events. Lines end with a line feed, optionally preceded by a carriage return.
 */
internal class EventBoundary {
    private var isLineEmpty = true
    private var isComment = false
    private var isBlockOpen = false
    private var hasField = false

    /** Number of complete events. Comments and blank lines are no events. */
    var events = 0
        private set

    /** Whether an event is complete. */
    val hasEvent: Boolean get() = events > 0

    /** Whether a line has begun since the last blank one. */
    val isWithinEvent: Boolean get() = isBlockOpen || !isLineEmpty

    fun append(byte: Byte) {
        when (byte) {
            LINE_FEED -> endLine()

            CARRIAGE_RETURN -> Unit

            else -> {
                if (isLineEmpty) isComment = byte == COLON
                isLineEmpty = false
            }
        }
    }

    private fun endLine() {
        if (isLineEmpty) {
            if (hasField) events += 1
            hasField = false
            isBlockOpen = false
        } else {
            hasField = hasField || !isComment
            isBlockOpen = true
            isLineEmpty = true
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
    }
}
