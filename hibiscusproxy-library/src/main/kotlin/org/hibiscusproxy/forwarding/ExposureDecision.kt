package org.hibiscusproxy.forwarding

/** Whether the version of a rollout gets a request. */
enum class ExposureDecision {
    /** The request goes to a target of the version. */
    SENT,

    /** The request does not go to the version because its share is used or controllers are lost. */
    HELD_BACK,
}
