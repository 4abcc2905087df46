package org.hibiscusproxy.consensus

/** Why a replica stopped leading. */
sealed class LeadershipLoss {
    /** No majority answered for an election timeout; [peers] has the state of the others. */
    data class MajorityLost(val peers: List<PeerContact>) : LeadershipLoss()

    /** A message had the higher [term]. */
    data class TermEnded(val term: Long) : LeadershipLoss()

    /** The membership no longer contains this replica. */
    data object Removed : LeadershipLoss()
}
