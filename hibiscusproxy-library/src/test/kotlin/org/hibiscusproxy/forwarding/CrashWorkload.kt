package org.hibiscusproxy.forwarding

import kotlin.random.Random
import org.hibiscusproxy.protocol.Fingerprint

/** The sound requests of a [CrashSimulation] and those that crash engines, as their fingerprints. */
internal class CrashWorkload(private val random: Random, private val kind: CrashSimulation.Kind) {
    private val causePrompts: List<List<Fingerprint>>

    /** The fingerprints that crash engines. */
    val causes: Set<Fingerprint>

    init {
        val first = Fingerprint(1)
        val prompts = List(random.nextInt(1, 3)) { index ->
            val cause = Fingerprint(100L + index)
            if (kind == CrashSimulation.Kind.PLAIN_REQUESTS) return@List listOf(cause) to cause
            val sound = listOf(first, Fingerprint(random.nextLong(10, 10L + SUBJECTS)))
            if (kind == CrashSimulation.Kind.REQUESTS_WITH_PROMPTS) {
                return@List sound + cause to cause
            }
            when (random.nextInt(3)) {
                0 -> listOf(cause, sound[1])
                1 -> listOf(first, cause, sound[1])
                else -> listOf(first, cause)
            } to cause
        }
        causePrompts = prompts.map { it.first }
        causes = prompts.mapTo(LinkedHashSet()) { it.second }
    }

    fun soundPrompt(): List<Fingerprint> {
        val subject = Fingerprint(10 + skewed(SUBJECTS))
        return when (kind) {
            CrashSimulation.Kind.PARTS -> listOf(Fingerprint(1), subject)

            CrashSimulation.Kind.REQUESTS_WITH_PROMPTS ->
                listOf(Fingerprint(1), subject, Fingerprint(random.nextLong(1_000, Long.MAX_VALUE)))

            CrashSimulation.Kind.PLAIN_REQUESTS -> listOf(subject)
        }
    }

    fun causePrompt(): List<Fingerprint> = causePrompts.random(random)

    /** Low numbers are far more frequent than high ones. */
    private fun skewed(size: Int): Long =
        (size * random.nextDouble() * random.nextDouble()).toLong()

    private companion object {
        const val SUBJECTS = 60
    }
}
