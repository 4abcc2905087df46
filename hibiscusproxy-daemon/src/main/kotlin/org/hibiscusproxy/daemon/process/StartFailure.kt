package org.hibiscusproxy.daemon.process

import org.hibiscusproxy.consensus.StorageFailure
import org.hibiscusproxy.daemon.transport.FleetKeyFailure

/** Reason why a process did not start. */
sealed class StartFailure {
    /** Human-readable message of one sentence. */
    abstract val message: String

    /** The fleet key cannot be loaded. */
    data class BadKey(val failure: FleetKeyFailure) : StartFailure() {
        override val message = "The fleet key cannot be loaded: $failure."
    }

    /** The controller's data folder is corrupted or in use. */
    data class BadStorage(val failure: StorageFailure) : StartFailure() {
        override val message = "The data folder cannot be used: $failure."
    }

    /** A role does not accept the value of a setting. */
    data class BadSetting(val cause: String) : StartFailure() {
        override val message = "Invalid setting: $cause."
    }

    /** A listener cannot be opened. */
    data class CannotListen(val cause: String) : StartFailure() {
        override val message = "A listener cannot be opened: $cause."
    }
}
