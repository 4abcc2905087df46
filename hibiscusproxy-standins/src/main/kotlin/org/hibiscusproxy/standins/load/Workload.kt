package org.hibiscusproxy.standins.load

import kotlin.math.ln
import kotlin.random.Random
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.promptOf

/**
 * Seeded, deterministic sequence of arrivals. It is independent of the responses: a conversation
 * continues with the expected answers, whether or not they were received. The traffic of team k is
 * proportional to 1/k.
 */
class Workload(private val options: LoadOptions) {
    private class Chat(val number: Int, val team: Int, val messages: MutableList<ChatMessage>) {
        var turn = 0
        var nextTurnSeconds = 0.0
    }

    private val random = Random(options.seed)
    private val manuals = List(options.manuals) { manualText(it) }
    private val teamWeights = List(options.teams) { 1.0 / (it + 1) }
    private var nextChatNumber = 0
    private val chats = MutableList(options.chats) { newChat(randomTeam()) }
    private var bookings = 0

    /** All arrivals in order of their planned time. */
    fun arrivals(): Sequence<Arrival> = if (options.burst > 0) burst() else steady()

    private fun burst(): Sequence<Arrival> =
        generateSequence { nextArrival(0.0) }.take(options.burst)

    private fun steady(): Sequence<Arrival> = sequence {
        var atSeconds = interarrivalSeconds()
        while (atSeconds < options.durationSeconds) {
            yield(nextArrival(atSeconds))
            atSeconds += interarrivalSeconds()
        }
    }

    private fun interarrivalSeconds(): Double = -ln(1.0 - random.nextDouble()) / options.rate

    private fun nextArrival(atSeconds: Double): Arrival {
        val team = randomTeam()
        if (random.nextDouble() < options.bookingShare) {
            return Arrival.Booking(atSeconds, teamName(team), bookings++)
        }
        return nextTurn(availableChat(team, atSeconds), atSeconds)
    }

    private fun availableChat(team: Int, atSeconds: Double): Chat {
        val available = chats.filter { it.team == team && it.nextTurnSeconds <= atSeconds }
        if (available.isNotEmpty()) return available.random(random)
        val replacedIndex = chats.indices.filter { chats[it].team == team }.randomOrNull(random)
        val chat = newChat(team)
        if (replacedIndex == null) chats += chat else chats[replacedIndex] = chat
        return chat
    }

    private fun nextTurn(chat: Chat, atSeconds: Double): Arrival.ChatTurn {
        chat.messages += ChatMessage("user", "In chat ${chat.number}, ${words(QUESTION_WORDS)}?")
        val chatTurn = Arrival.ChatTurn(
            atSeconds = atSeconds,
            team = teamName(chat.team),
            chat = chat.number,
            turn = chat.turn,
            isStream = random.nextDouble() < options.streamShare,
            messages = chat.messages.toList(),
        )
        val answer = Answer.to(promptOf(chat.messages)).text(options.answerTokens)
        chat.messages += ChatMessage("assistant", answer)
        chat.turn++
        chat.nextTurnSeconds = atSeconds + options.pauseSeconds
        if (chat.turn == options.chatTurns) chats[chats.indexOf(chat)] = newChat(chat.team)
        return chatTurn
    }

    private fun newChat(team: Int): Chat {
        val manual = manuals[(team + random.nextInt(MANUALS_PER_TEAM)) % manuals.size]
        return Chat(nextChatNumber++, team, mutableListOf(ChatMessage("system", manual)))
    }

    private fun randomTeam(): Int {
        var remainder = random.nextDouble() * teamWeights.sum()
        return teamWeights.indices.firstOrNull {
            remainder -= teamWeights[it]
            remainder < 0
        } ?: teamWeights.lastIndex
    }

    private fun manualText(number: Int): String =
        "Manual $number of run ${options.seed}: ${words(options.manualTokens)}"

    private fun words(count: Int): String =
        (0 until count).joinToString(" ") { VOCABULARY[random.nextInt(VOCABULARY.size)] }

    private fun teamName(team: Int) = "team-${team + 1}"

    private companion object {
        const val QUESTION_WORDS = 12
        const val MANUALS_PER_TEAM = 2
        val VOCABULARY: List<String> = List(512) { Answer.to("vocabulary").tokenAt(it + 1) }
    }
}
