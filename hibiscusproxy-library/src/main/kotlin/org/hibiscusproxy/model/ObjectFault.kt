package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Validation error of one object, found by [FleetObjectsCheck]. */
@Serializable
sealed class ObjectFault {
    /** Kind of the invalid object. */
    abstract val kind: ObjectKind

    /** Name of the invalid object, as written by the operator. */
    abstract val name: String

    /** Description of the error, including the invalid value. */
    abstract val description: String

    final override fun toString(): String = "${kind.label} \"$name\": $description"

    /** The name is empty, too long or has characters other than letters, digits, `.`, `_`, `-`. */
    @Serializable
    @SerialName("malformed-name")
    data class MalformedName(override val kind: ObjectKind, override val name: String) :
        ObjectFault() {
        override val description: String
            get() = "the name must be 1 to 64 letters, digits, dots, underscores or hyphens"
    }

    /** Two objects of one kind have the same name. */
    @Serializable
    @SerialName("duplicate-name")
    data class DuplicateName(override val kind: ObjectKind, override val name: String) :
        ObjectFault() {
        override val description: String get() = "the name is used more than once"
    }

    /** A property refers to an object that does not exist. */
    @Serializable
    @SerialName("dangling-reference")
    data class DanglingReference(
        override val kind: ObjectKind,
        override val name: String,
        val referredKind: ObjectKind,
        val referredName: String,
    ) : ObjectFault() {
        override val description: String
            get() = "refers to ${referredKind.label} \"$referredName\", which does not exist"
    }

    /** A property has a value that is not valid for this object. */
    @Serializable
    @SerialName("unsuitable-reference")
    data class UnsuitableReference(
        override val kind: ObjectKind,
        override val name: String,
        val property: String,
        val value: String,
        val reason: String,
    ) : ObjectFault() {
        override val description: String get() = "$property \"$value\": $reason"
    }

    /** A number is outside its valid range. */
    @Serializable
    @SerialName("out-of-range")
    data class OutOfRange(
        override val kind: ObjectKind,
        override val name: String,
        val property: String,
        val value: String,
        val allowed: String,
    ) : ObjectFault() {
        override val description: String get() = "$property must be $allowed: $value"
    }

    /** A chat service or one of its targets lists no model. */
    @Serializable
    @SerialName("empty-model-list")
    data class EmptyModelList(override val kind: ObjectKind, override val name: String) :
        ObjectFault() {
        override val description: String get() = "lists no model"
    }

    /** An address is not an IP address with a port from 1 to 65535. */
    @Serializable
    @SerialName("bad-address")
    data class BadAddress(
        override val kind: ObjectKind,
        override val name: String,
        val address: String,
    ) : ObjectFault() {
        override val description: String
            get() = "the address must be an IP number and a port from 1 to 65535: $address"
    }

    /** Two targets have the same sidecar address. */
    @Serializable
    @SerialName("duplicate-address")
    data class DuplicateAddress(
        override val kind: ObjectKind,
        override val name: String,
        val address: String,
        val otherName: String,
    ) : ObjectFault() {
        override val description: String get() = "shares address $address with \"$otherName\""
    }
}

/** Kinds of objects that operators publish. */
@Serializable
enum class ObjectKind(val label: String) {
    @SerialName("team")
    TEAM("team"),

    @SerialName("service")
    SERVICE("service"),

    @SerialName("data-center")
    DATA_CENTER("data centre"),

    @SerialName("link")
    LINK("link"),

    @SerialName("target")
    TARGET("target"),

    @SerialName("routing-rule")
    ROUTING_RULE("routing rule"),
}
