package org.hibiscusproxy.control

import kotlinx.serialization.cbor.Cbor
import org.hibiscusproxy.protocol.Payload

/** Encodes commands, results and snapshots of the control state as CBOR. */
object ControlCodec {
    private val cbor = Cbor { }

    /** Encodes a command for the replicated log. */
    fun encode(command: ControlCommand): Payload =
        Payload(cbor.encodeToByteArray(ControlCommand.serializer(), command))

    /** Decodes a command from the replicated log. */
    fun decodeCommand(payload: Payload): ControlCommand =
        cbor.decodeFromByteArray(ControlCommand.serializer(), payload.bytes)

    /** Encodes the result of a command. */
    fun encode(result: ControlResult): Payload =
        Payload(cbor.encodeToByteArray(ControlResult.serializer(), result))

    /** Decodes the result of a command. */
    fun decodeResult(payload: Payload): ControlResult =
        cbor.decodeFromByteArray(ControlResult.serializer(), payload.bytes)

    internal fun encode(snapshot: ControlSnapshot): Payload =
        Payload(cbor.encodeToByteArray(ControlSnapshot.serializer(), snapshot))

    internal fun decodeSnapshot(payload: Payload): ControlSnapshot =
        cbor.decodeFromByteArray(ControlSnapshot.serializer(), payload.bytes)
}
