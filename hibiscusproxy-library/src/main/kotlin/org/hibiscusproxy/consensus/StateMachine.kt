package org.hibiscusproxy.consensus

import org.hibiscusproxy.protocol.Payload

/**
 * The state machine that the replicated log drives. All replicas apply the same commands in the
 * same order, so an implementation must be deterministic: no clock, no randomness, no iteration
 * over unordered collections.
 */
interface StateMachine {
    /** Applies the committed [command] at [index] and returns the result for its proposer. */
    fun apply(index: Long, command: Payload): Payload

    /** Encodes the whole state. */
    fun snapshot(): Payload

    /** Replaces the whole state by one encoded by [snapshot]. */
    fun restore(snapshot: Payload)
}
