package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Order in which waiting requests are served; engines receive it as `X-Priority`. */
@Serializable
enum class Priority {
    /** A person waits for the answer. */
    @SerialName("interactive")
    INTERACTIVE,

    /** Neither interactive nor deferrable. */
    @SerialName("normal")
    NORMAL,

    /** Drafts and batch work that may wait. */
    @SerialName("background")
    BACKGROUND,
}
