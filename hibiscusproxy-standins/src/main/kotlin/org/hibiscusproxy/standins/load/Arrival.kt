package org.hibiscusproxy.standins.load

import org.hibiscusproxy.standins.answers.ChatMessage

/**
 * One request and when it is due.
 *
 * @property atSeconds time since the start of the load
 */
sealed class Arrival {
    abstract val atSeconds: Double
    abstract val team: String

    /** A question in a chat. */
    data class ChatTurn(
        override val atSeconds: Double,
        override val team: String,
        val chat: Int,
        val turn: Int,
        val isStream: Boolean,
        val messages: List<ChatMessage>,
    ) : Arrival()

    /** A booking with a key that no other booking of the run has. */
    data class Booking(
        override val atSeconds: Double,
        override val team: String,
        val number: Int,
    ) : Arrival()
}
