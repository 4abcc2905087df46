package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Parses scenario scripts: one step per line, words separated by white space; `#` starts a
 * comment. All errors of a script are reported together.
 */
object ScenarioParser {
    /** An error in a script; [line] 0 stands for the whole script. */
    data class ParseError(val line: Int, val text: String, val message: String)

    /** Parses the script [text]. */
    fun parse(name: String, text: String): Result<Scenario, List<ParseError>> {
        val guards = ArrayList<String>()
        val steps = ArrayList<NumberedStep>()
        val errors = ArrayList<ParseError>()
        text.lines().forEachIndexed { index, raw ->
            val line = raw.substringBefore('#').trim()
            val words = line.split(Regex("\\s+")).filter { it.isNotEmpty() }
            when (words.firstOrNull()) {
                null -> Unit
                "guards" -> guards += words.drop(1).joinToString(" ")
                else -> try {
                    steps += NumberedStep(index + 1, step(Words(words)))
                } catch (failure: IllegalArgumentException) {
                    errors += ParseError(index + 1, line, failure.message.orEmpty())
                }
            }
        }
        if (guards.isEmpty()) errors += ParseError(0, "", "the script has no guards line")
        return if (errors.isEmpty()) Ok(Scenario(name, guards, steps)) else Err(errors)
    }

    private fun step(words: Words): ScenarioStep {
        val verb = words.next("a step")
        val action = ScenarioStep.ProcessAction.entries.find { it.word == verb }
        val step = when {
            verb == "start" && words.isAtEnd -> ScenarioStep.StartAll
            action != null -> ScenarioStep.ControlProcesses(action, words.processes())
            else -> stepByVerb(verb, words)
        }
        words.expectEnd()
        return step
    }

    private fun stepByVerb(verb: String, words: Words): ScenarioStep = when (verb) {
        "fleet" -> fleet(words)
        "publish" -> ScenarioStep.Publish
        "load" -> load(words)
        "end-load" -> ScenarioStep.EndLoad
        "wait" -> ScenarioStep.Wait(words.duration())
        "mark" -> ScenarioStep.Mark(words.next("a name"))
        "out", "in" -> ScenarioStep.SetState(
            words.oneOf(ScenarioStep.Subject.entries) { it.word },
            words.next("a name"),
            isOut = verb == "out",
        )
        "race" -> ScenarioStep.Race(words.remaining())
        "partition" -> ScenarioStep.Partition(words.processes())
        "delay" -> ScenarioStep.Delay(
            words.next("a process"),
            words.duration(),
            Duration.parse(words.valueAfter("jitter")),
        )
        "change" -> ScenarioStep.PublishChanges(words.next("a count").toWholeNumber("count"))
        "kill-leader" -> ScenarioStep.KillLeader(
            words.next("a count").toWholeNumber("count"),
            words.valueAfter("seed").toWholeNumber("seed").toLong(),
        )
        "kill-at-random" -> ScenarioStep.KillAtRandom(
            words.next("a count").toWholeNumber("count"),
            words.valueAfter("seed").toWholeNumber("seed").toLong(),
            words.processes(),
        )
        "poison" -> ScenarioStep.Poison(words.next("a count").toWholeNumber("count"))
        "readmit" -> ScenarioStep.Readmit(words.next("a controller"))
        "expect" -> expectation(words)
        else -> throw IllegalArgumentException("unknown step: $verb")
    }

    private fun fleet(words: Words): ScenarioStep {
        val kind = words.next("demo, skupaj or volta")
        require(kind in setOf("demo", "skupaj", "volta")) { "unknown fleet: $kind" }
        val options = words.options(setOf("controllers", "entries", "engine", "cold", "deadline"))
        return ScenarioStep.Fleet(
            kind = kind,
            controllers = options["controllers"]?.toWholeNumber("controllers"),
            entries = options["entries"]?.toWholeNumber("entries"),
            engineOptions = options["engine"]?.split(',').orEmpty(),
            coldCapacity = options["cold"]?.toWholeNumber("cold"),
            deadline = options["deadline"]?.let { Duration.parse(it) },
        )
    }

    private fun load(words: Words): ScenarioStep {
        val known = setOf("rate", "for", "bookings", "streams", "tokens", "burst", "resends")
        val options = words.options(known)
        return ScenarioStep.Load(
            rate = options["rate"]?.toNumber("rate") ?: DEFAULT_ARRIVALS_PER_SECOND,
            duration = options["for"]?.let { Duration.parse(it) } ?: DEFAULT_DURATION,
            bookingShare = options["bookings"]?.toNumber("bookings") ?: 0.0,
            streamShare = options["streams"]?.toNumber("streams") ?: 1.0,
            answerTokens = options["tokens"]?.toWholeNumber("tokens") ?: DEFAULT_ANSWER_TOKENS,
            burst = options["burst"]?.toWholeNumber("burst") ?: 0,
            resends = options["resends"]?.toWholeNumber("resends") ?: 0,
        )
    }

    private fun expectation(words: Words): ScenarioStep {
        val subject = words.next("no-work, work or a metric")
        return when (subject) {
            "no-work" -> ScenarioStep.ExpectNoWork(
                words.next("a data centre or target"),
                words.valueAfter("since"),
            )
            "work" -> ScenarioStep.ExpectWork(
                words.next("a data centre or target"),
                Duration.parse(words.valueAfter("within")),
            )
            "voter" -> ScenarioStep.ExpectVoter(
                words.next("a controller"),
                Duration.parse(words.valueAfter("within")),
            )
            "state" -> ScenarioStep.ExpectState(
                words.next("a data centre or target"),
                words.oneOf(listOf("in", "out")) { it } == "out",
            )
            else -> ScenarioStep.ExpectMetric(
                requireNotNull(ScenarioStep.Metric.entries.find { it.word == subject }) {
                    "unknown metric: $subject"
                },
                words.oneOf(ScenarioStep.Comparison.entries) { it.word },
                words.next("a number").toNumber(subject),
            )
        }
    }

    private fun String.toWholeNumber(name: String): Int =
        requireNotNull(toIntOrNull()) { "$name must be a whole number: $this" }

    private fun String.toNumber(name: String): Double =
        requireNotNull(toDoubleOrNull()) { "$name must be a number: $this" }

    private class Words(private val words: List<String>) {
        private var position = 0
        val isAtEnd: Boolean get() = position == words.size

        fun next(expected: String): String =
            requireNotNull(words.getOrNull(position++)) { "expected $expected" }

        fun valueAfter(keyword: String): String {
            val word = next(keyword)
            require(word == keyword) { "expected $keyword, found $word" }
            return next("a value after $keyword")
        }

        fun duration(): Duration = Duration.parse(next("a time such as 4s"))

        fun processes(): List<String> =
            remaining().also { require(it.isNotEmpty()) { "expected a process" } }

        fun remaining(): List<String> = words.drop(position).also { position = words.size }

        fun <T> oneOf(values: List<T>, word: (T) -> String): T {
            val found = next(values.joinToString(" or ", transform = word))
            return requireNotNull(values.find { word(it) == found }) {
                "expected one of ${values.joinToString(transform = word)}, found $found"
            }
        }

        fun options(known: Set<String>): Map<String, String> = buildMap {
            while (!isAtEnd) {
                val key = next("an option")
                require(key in known) { "unknown option: $key" }
                put(key, next("a value for $key"))
            }
        }

        fun expectEnd() = require(isAtEnd) { "unexpected: ${remaining().joinToString(" ")}" }
    }

    private const val DEFAULT_ARRIVALS_PER_SECOND = 10.0
    private const val DEFAULT_ANSWER_TOKENS = 32
    private val DEFAULT_DURATION = 10.seconds
}
