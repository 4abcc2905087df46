package org.hibiscusproxy.standins.load

import org.hibiscusproxy.standins.answers.ChatMessage

/**
 * A planned request.
 *
 * @property atSeconds planned time of sending, since the start of the run
 */
sealed class Arrival {
    abstract val atSeconds: Double
    abstract val team: String

    /** A chat completion request for the next turn of a conversation. */
    data class ChatTurn(
        override val atSeconds: Double,
        override val team: String,
        val chat: Int,
        val turn: Int,
        val isStream: Boolean,
        val messages: List<ChatMessage>,
    ) : Arrival()

    /** A booking with an idempotency key that is unique in the run. */
    data class Booking(
        override val atSeconds: Double,
        override val team: String,
        val number: Int,
    ) : Arrival()
}
