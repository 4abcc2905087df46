package org.hibiscusproxy.consensus

/**
 * Compares what all replicas of a run do. The log index of a command is its place in the order that
 * makes the history linearizable, so it is enough to check that this order respects real time and
 * that each answer is what a register holds at that place.
 */
class HistoryChecker {
    private val sequence = sortedMapOf<Long, RegisterCommand>()
    private val places = mutableMapOf<Int, Long>()
    private val results = mutableMapOf<Long, String>()
    private val leaders = mutableMapOf<Long, Long>()
    private val acknowledged = sortedMapOf<Int, Long>()

    /** Highest index acknowledged so far; whatever starts now has to come after it. */
    var newestAcknowledged: Long = 0
        private set

    val acknowledgedIdentifiers: Set<Int> get() = acknowledged.keys

    fun applied(index: Long, command: RegisterCommand, result: String) {
        val first = sequence.getOrPut(index) { command }
        check(first == command) { "index $index is both $first and $command" }
        val place = places.getOrPut(command.identifier) { index }
        check(place == index) { "$command is applied at $place and $index" }
        val firstResult = results.getOrPut(index) { result }
        check(firstResult == result) { "index $index gave both '$firstResult' and '$result'" }
    }

    fun leads(term: Long, identity: Long) {
        val first = leaders.getOrPut(term) { identity }
        check(first == identity) { "term $term has two leaders, $first and $identity" }
    }

    /** [command] started when [floor] was the newest acknowledged index. */
    fun acknowledge(command: RegisterCommand, index: Long, result: String, floor: Long) {
        check(index > floor) { "$command at $index started after $floor was acknowledged" }
        check(sequence[index] == command) { "$command is acknowledged at $index, not applied" }
        check(results[index] == result) { "$command at $index gave '$result'" }
        acknowledged[command.identifier] = index
        newestAcknowledged = maxOf(newestAcknowledged, index)
    }

    /** A leader with majority contact reads its own state as of [index]. */
    fun readLocally(index: Long) {
        check(index >= newestAcknowledged) { "read at $index misses $newestAcknowledged" }
    }

    /** Replays the sequence on a plain map and compares all results. */
    fun checkResults() {
        val registers = mutableMapOf<Int, Int>()
        sequence.forEach { (index, command) ->
            val expected = registers[command.register]?.toString().orEmpty()
            check(results[index] == expected) { "index $index gave ${results[index]}: $command" }
            if (command.isWrite) registers[command.register] = command.identifier
        }
    }
}
