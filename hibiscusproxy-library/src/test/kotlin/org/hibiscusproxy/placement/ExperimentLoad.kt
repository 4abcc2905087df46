package org.hibiscusproxy.placement

import kotlin.math.ln
import kotlin.random.Random
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName

/**
 * A turn of a chat. Its prompt consists of the blocks of a manual, which is a system prompt that
 * many chats share, followed by the chat's own blocks.
 *
 * @property atMillis arrival time, regardless of whether earlier turns were answered
 */
internal class Turn(
    val number: Int,
    val atMillis: Double,
    val team: Int,
    val key: PrefixKey,
    val manual: Int,
    val manualBlocks: Int,
    val chat: Int,
    val ownBlocks: Int,
    val answerBlocks: Int,
    val entry: Int,
) {
    val promptBlocks get() = manualBlocks + ownBlocks

    /** Returns the key of the prompt block at [index]; equal prefixes have equal keys. */
    fun block(index: Int): Long = if (index < manualBlocks) {
        manual.toLong() shl 20 or index.toLong()
    } else {
        1L shl 62 or (chat.toLong() shl 20) or (index - manualBlocks).toLong()
    }
}

/** Seeded open-loop load of ten teams of different sizes, whose chats continue after pauses. */
internal class ExperimentLoad(
    val minutes: Int,
    seed: Int,
    private val entries: Int,
    private val burst: Burst? = null,
    private val hasHotManual: Boolean = false,
) {
    class Burst(val team: Int, val factor: Int, val fromMinute: Double, val toMinute: Double)

    private val random = Random(seed)
    private val manualBlocks = List(MANUALS) { 40 + random.nextInt(90) }

    val teams = TEAM_SHARES.mapIndexed { index, share ->
        Team(TeamName("team-$index"), share, Priority.INTERACTIVE)
    }

    val turns: List<Turn> = buildList {
        var chat = 0
        for (team in TEAM_SHARES.indices) {
            val chatsPerMinute = CHATS_PER_MINUTE * TEAM_SHARES[team] / TEAM_SHARES.sum()
            var minute = -WARM_UP_MINUTES
            while (minute < minutes) {
                val isBurst = burst != null && team == burst.team &&
                    minute in burst.fromMinute..burst.toMinute
                val factor = if (isBurst) burst!!.factor else 1
                minute += exponential(1 / (chatsPerMinute * factor))
                addAll(chat(team, chat++, minute * MINUTE_MILLIS))
            }
        }
    }.filter { it.atMillis in 0.0..minutes * MINUTE_MILLIS }
        .sortedBy { it.atMillis }

    private fun chat(team: Int, chat: Int, startMillis: Double): List<Turn> = buildList {
        // The first manual of a team takes half of its chats, the second a quarter, and so on.
        val rank = generateSequence(0) { it + 1 }.first { it == 2 || random.nextBoolean() }
        val isHot = hasHotManual && random.nextBoolean()
        val manual = if (isHot) 0 else (team * 3 + rank) % MANUALS
        val key = PrefixKeys.ofChat(
            ModelName("m"),
            null,
            listOf(PromptMessage("system", "manual $manual"), PromptMessage("user", "chat $chat")),
        )
        var at = startMillis
        var own = 0
        do {
            own += 1 + random.nextInt(3)
            val answer = 1 + random.nextInt(3)
            add(
                Turn(
                    0, at, team, key, manual, manualBlocks[manual], chat, own, answer,
                    random.nextInt(entries),
                ),
            )
            own += answer
            at += 12_000 + exponential(if (random.nextInt(10) == 0) 240_000.0 else 45_000.0)
        } while (random.nextDouble() > 1.0 / MEAN_TURNS)
    }

    private fun exponential(mean: Double) = -mean * ln(1 - random.nextDouble())

    companion object {
        const val BLOCK_TOKENS = 128
        const val MINUTE_MILLIS = 60_000.0
        private const val MANUALS = 30
        private const val MEAN_TURNS = 8
        private const val CHATS_PER_MINUTE = 60.0
        private const val WARM_UP_MINUTES = 10.0
        val TEAM_SHARES = listOf(6, 4, 4, 2, 1, 1, 1, 1, 1, 1)
    }
}
