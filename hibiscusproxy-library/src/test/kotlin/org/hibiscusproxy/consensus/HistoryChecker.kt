package org.hibiscusproxy.consensus

/**
 * Checks that the history of a run is linearizable. The log index of a command is its position in
 * the linear order, so it is enough to check that this order respects real time and that each
 * result equals the value of the register at that position.
 */
class HistoryChecker {
    private val commands = sortedMapOf<Long, RegisterCommand>()
    private val positions = mutableMapOf<Int, Long>()
    private val results = mutableMapOf<Long, String>()
    private val leaders = mutableMapOf<Long, Long>()
    private val acknowledged = sortedMapOf<Int, Long>()

    /** Highest index acknowledged so far; a command that starts now must get a higher one. */
    var newestAcknowledged: Long = 0
        private set

    val acknowledgedIdentifiers: Set<Int> get() = acknowledged.keys

    fun recordApplied(index: Long, command: RegisterCommand, result: String) {
        val first = commands.getOrPut(index) { command }
        check(first == command) { "index $index is both $first and $command" }
        val position = positions.getOrPut(command.identifier) { index }
        check(position == index) { "$command is applied at $position and $index" }
        val firstResult = results.getOrPut(index) { result }
        check(firstResult == result) { "index $index gave both '$firstResult' and '$result'" }
    }

    fun recordLeader(term: Long, identity: Long) {
        val first = leaders.getOrPut(term) { identity }
        check(first == identity) { "term $term has two leaders, $first and $identity" }
    }

    /** [command] started when [acknowledgedBefore] was the newest acknowledged index. */
    fun acknowledge(
        command: RegisterCommand,
        index: Long,
        result: String,
        acknowledgedBefore: Long,
    ) {
        check(index > acknowledgedBefore) {
            "$command at $index started after $acknowledgedBefore was acknowledged"
        }
        check(commands[index] == command) { "$command is acknowledged at $index, not applied" }
        check(results[index] == result) { "$command at $index gave '$result'" }
        acknowledged[command.identifier] = index
        newestAcknowledged = maxOf(newestAcknowledged, index)
    }

    /** A leader with recent majority contact reads its local state as of [index]. */
    fun readLocally(index: Long) {
        check(index >= newestAcknowledged) { "read at $index misses $newestAcknowledged" }
    }

    /** Replays the commands on a map and compares all results. */
    fun checkResults() {
        val registers = mutableMapOf<Int, Int>()
        commands.forEach { (index, command) ->
            val expected = registers[command.register]?.toString().orEmpty()
            check(results[index] == expected) { "index $index gave ${results[index]}: $command" }
            if (command.isWrite) registers[command.register] = command.identifier
        }
    }
}
