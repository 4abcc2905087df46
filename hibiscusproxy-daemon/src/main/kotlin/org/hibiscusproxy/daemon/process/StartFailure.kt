package org.hibiscusproxy.daemon.process

import org.hibiscusproxy.consensus.StorageFailure
import org.hibiscusproxy.daemon.transport.FleetKeyFailure

/** Why a process did not start. */
sealed class StartFailure {
    /** One sentence for people. */
    abstract val message: String

    /** The fleet key cannot be used. */
    data class BadKey(val failure: FleetKeyFailure) : StartFailure() {
        override val message = "The fleet key cannot be used: $failure."
    }

    /** The controller's data folder is damaged or in use. */
    data class BadStorage(val failure: StorageFailure) : StartFailure() {
        override val message = "The data folder cannot be used: $failure."
    }

    /** A setting has a value that a role refuses. */
    data class BadSetting(val cause: String) : StartFailure() {
        override val message = "A setting is refused: $cause."
    }

    /** A listener cannot be opened. */
    data class CannotListen(val cause: String) : StartFailure() {
        override val message = "A listener cannot be opened: $cause."
    }
}
