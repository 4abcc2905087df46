package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.ConnectTimeoutException
import java.net.ConnectException

/** Outcome of opening a connection to a target. */
internal sealed class ConnectResult {
    /** [connection] is open and carries no request yet. */
    class Connected(val connection: TargetConnection) : ConnectResult()

    /** No connection was established because of [cause]. */
    class Failed(val cause: Throwable) : ConnectResult() {
        /** Whether the address was reached, but no process listens there. */
        val isRefused: Boolean
            get() = cause is ConnectException && cause !is ConnectTimeoutException
    }
}
