package org.hibiscusproxy.standins.load

import kotlin.math.ln
import kotlin.random.Random
import org.hibiscusproxy.standins.answers.Answer
import org.hibiscusproxy.standins.answers.ChatMessage
import org.hibiscusproxy.standins.answers.promptOf

/**
 * Seeded sequence of arrivals. It depends on nothing that happens during the run: a conversation
 * continues with the answers that are correct, whether or not they arrived. Team number k has a
 * share of the traffic proportional to 1/k.
 */
class Workload(private val options: LoadOptions) {
    private class Chat(val number: Int, val team: Int, val messages: MutableList<ChatMessage>) {
        var turn = 0
        var notBeforeSeconds = 0.0
    }

    private val random = Random(options.seed)
    private val manuals = List(options.manuals) { manualText(it) }
    private val teamWeights = List(options.teams) { 1.0 / (it + 1) }
    private var newestChat = 0
    private val chats = MutableList(options.chats) { newChat(randomTeam()) }
    private var bookings = 0

    /** All arrivals in order of time. */
    fun arrivals(): Sequence<Arrival> = if (options.burst > 0) burst() else steady()

    private fun burst(): Sequence<Arrival> = generateSequence { next(0.0) }.take(options.burst)

    private fun steady(): Sequence<Arrival> = sequence {
        var atSeconds = gapSeconds()
        while (atSeconds < options.durationSeconds) {
            yield(next(atSeconds))
            atSeconds += gapSeconds()
        }
    }

    private fun gapSeconds(): Double = -ln(1.0 - random.nextDouble()) / options.rate

    private fun next(atSeconds: Double): Arrival {
        val team = randomTeam()
        if (random.nextDouble() < options.bookingShare) {
            return Arrival.Booking(atSeconds, teamName(team), bookings++)
        }
        return ask(dueChat(team, atSeconds), atSeconds)
    }

    private fun dueChat(team: Int, atSeconds: Double): Chat {
        val due = chats.filter { it.team == team && it.notBeforeSeconds <= atSeconds }
        if (due.isNotEmpty()) return due.random(random)
        val replaced = chats.indices.filter { chats[it].team == team }.randomOrNull(random)
        val chat = newChat(team)
        if (replaced == null) chats += chat else chats[replaced] = chat
        return chat
    }

    private fun ask(chat: Chat, atSeconds: Double): Arrival.ChatTurn {
        chat.messages += ChatMessage("user", "In chat ${chat.number}, ${words(QUESTION_WORDS)}?")
        val question = Arrival.ChatTurn(
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
        chat.notBeforeSeconds = atSeconds + options.pauseSeconds
        if (chat.turn == options.chatTurns) chats[chats.indexOf(chat)] = newChat(chat.team)
        return question
    }

    private fun newChat(team: Int): Chat {
        val manual = manuals[(team + random.nextInt(MANUALS_PER_TEAM)) % manuals.size]
        return Chat(newestChat++, team, mutableListOf(ChatMessage("system", manual)))
    }

    private fun randomTeam(): Int {
        var left = random.nextDouble() * teamWeights.sum()
        return teamWeights.indices.firstOrNull {
            left -= teamWeights[it]
            left < 0
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
