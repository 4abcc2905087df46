package org.hibiscusproxy.placement

/** The fields of a prompt message that determine placement. */
data class PromptMessage(val role: String, val content: String)
