package org.hibiscusproxy.consensus

import org.hibiscusproxy.protocol.Payload

/** A command on a register: a write stores its own identifier, a read returns what is stored. */
data class RegisterCommand(val identifier: Int, val register: Int, val isWrite: Boolean) {
    /** Encodes the command, padded to [size] bytes at least. */
    fun encode(size: Int = 0): Payload = Payload.of("$identifier $register $isWrite ".padEnd(size))

    companion object {
        fun decode(payload: Payload): RegisterCommand {
            val (identifier, register, isWrite) = payload.bytes.decodeToString().split(' ')
            return RegisterCommand(identifier.toInt(), register.toInt(), isWrite.toBoolean())
        }
    }
}

/** Registers by number, and the identifiers of all commands applied. */
class KeyValueMachine(private val checker: HistoryChecker) : StateMachine {
    private val registers = sortedMapOf<Int, Int>()
    private val identifiers = linkedSetOf<Int>()

    val appliedIdentifiers: Set<Int> get() = identifiers

    override fun apply(index: Long, command: Payload): Payload {
        val decoded = RegisterCommand.decode(command)
        check(identifiers.add(decoded.identifier)) { "$decoded is applied twice, at $index" }
        val before = registers[decoded.register]
        if (decoded.isWrite) registers[decoded.register] = decoded.identifier
        val result = before?.toString().orEmpty()
        checker.recordApplied(index, decoded, result)
        return Payload.of(result)
    }

    override fun snapshot(): Payload {
        val values = registers.entries.joinToString(",") { "${it.key}=${it.value}" }
        return Payload.of("${identifiers.joinToString(",")};$values")
    }

    override fun restore(snapshot: Payload) {
        val (applied, values) = snapshot.bytes.decodeToString().split(';')
        identifiers.clear()
        registers.clear()
        applied.split(',').filter { it.isNotEmpty() }.mapTo(identifiers) { it.toInt() }
        values.split(',').filter { it.isNotEmpty() }.forEach {
            val (register, value) = it.split('=')
            registers[register.toInt()] = value.toInt()
        }
    }
}
