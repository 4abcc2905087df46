package org.hibiscusproxy.daemon.settings

/** One thing that is wrong with a settings file. [path] names the key, as in `entry.listen`. */
sealed class SettingsFault {
    /** Key that the fault is about; empty for the file as a whole. */
    abstract val path: String

    /** One sentence for people. */
    abstract val message: String

    /** The file cannot be read. */
    data class Unreadable(val file: String, val cause: String) : SettingsFault() {
        override val path = ""
        override val message = "cannot read $file: $cause"
    }

    /** The file is not JSON; [cause] holds line and column as the parser gives them. */
    data class NotJson(val cause: String) : SettingsFault() {
        override val path = ""
        override val message = "not valid JSON: $cause"
    }

    /** The key is not a setting. */
    data class UnknownKey(override val path: String, val known: List<String>) : SettingsFault() {
        override val message = "unknown setting, expected one of ${known.joinToString()}"
    }

    /** A setting without a default is absent. */
    data class MissingKey(override val path: String) : SettingsFault() {
        override val message = "missing"
    }

    /** The value has another type or form than expected. */
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
            "must be in ${minimum.plain()}..${maximum.plain()}: ${value.plain()}"
    }

    /** The settings contradict each other. */
    data class Inconsistent(override val path: String, override val message: String) :
        SettingsFault()

    /** The fault as a line of text. */
    fun describe(): String = if (path.isEmpty()) message else "$path: $message"
}

internal fun Double.plain(): String = if (this == toLong().toDouble()) {
    toLong().toString()
} else {
    toString()
}
