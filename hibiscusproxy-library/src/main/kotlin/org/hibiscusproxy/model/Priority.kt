package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Priority of a waiting request, highest first; passed to engines as `X-Priority`. */
@Serializable
enum class Priority {
    /** A user is waiting for the answer. */
    @SerialName("interactive")
    INTERACTIVE,

    /** Neither interactive nor background work. */
    @SerialName("normal")
    NORMAL,

    /** Deferrable work, such as drafts and batch jobs. */
    @SerialName("background")
    BACKGROUND,
}
