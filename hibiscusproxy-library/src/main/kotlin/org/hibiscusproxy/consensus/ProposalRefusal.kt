package org.hibiscusproxy.consensus

/** Why a leader did not append a command. Nothing was done. */
sealed class ProposalRefusal {
    /** Description for the operator. */
    abstract val message: String

    /** The command has [bytes], more than a replica can hold. It is never accepted. */
    data class TooLarge(val bytes: Int, val limit: Int) : ProposalRefusal() {
        override val message: String
            get() = "the change is too large: $bytes bytes, the limit is $limit bytes"
    }

    /** Earlier changes that are not confirmed have [pendingBytes]. It may be sent again later. */
    data class TooManyPending(val pendingBytes: Long, val limit: Long) : ProposalRefusal() {
        override val message: String
            get() = "too many changes in progress: $pendingBytes bytes, the limit is $limit bytes"
    }
}
