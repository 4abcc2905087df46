package org.hibiscusproxy.daemon.settings

/** A fault in a settings file. */
sealed class SettingsFault {
    /** Path of the key with the fault, such as `entry.listen`; empty for the whole file. */
    abstract val path: String

    /** Human-readable message. */
    abstract val message: String

    /** The file cannot be read. */
    data class Unreadable(val file: String, val cause: String) : SettingsFault() {
        override val path = ""
        override val message = "cannot read $file: $cause"
    }

    /** The file is not valid JSON; [cause] is the parser's message with line and column. */
    data class NotJson(val cause: String) : SettingsFault() {
        override val path = ""
        override val message = "not valid JSON: $cause"
    }

    /** The key is not a setting. */
    data class UnknownKey(override val path: String, val known: List<String>) : SettingsFault() {
        override val message = "unknown setting, expected one of ${known.joinToString()}"
    }

    /** A required setting is missing. */
    data class MissingKey(override val path: String) : SettingsFault() {
        override val message = "missing"
    }

    /** The value does not have the expected type or format. */
    data class WrongValue(override val path: String, val value: String, val expected: String) :
        SettingsFault() {
        override val message = "expected $expected, found $value"
    }

    /** The number is outside its range. */
    data class OutOfRange(
        override val path: String,
        val value: Double,
        val minimum: Double,
        val maximum: Double,
    ) : SettingsFault() {
        override val message =
            "must be in ${minimum.plainString()}..${maximum.plainString()}: ${value.plainString()}"
    }

    /** The settings contradict each other. */
    data class Inconsistent(override val path: String, override val message: String) :
        SettingsFault()

    /** Formats the fault as one line. */
    fun describe(): String = if (path.isEmpty()) message else "$path: $message"
}

/** Whether the file may be read while it is written: it cannot be read or is not JSON. */
internal val List<SettingsFault>.isIncomplete: Boolean
    get() = any { it is SettingsFault.Unreadable || it is SettingsFault.NotJson }

internal fun Double.plainString(): String = if (this == toLong().toDouble()) {
    toLong().toString()
} else {
    toString()
}
