package org.hibiscusproxy.daemon.forwarding

/** Outcome of opening a connection to a target. */
internal sealed class ConnectResult {
    /** [connection] is open and carries no request yet. */
    class Connected(val connection: TargetConnection) : ConnectResult()

    /** No connection was established because of [cause]. */
    class Failed(val cause: Throwable) : ConnectResult()
}
