package org.hibiscusproxy.placement

/** One message of a chat's prompt, as far as placement reads it. */
data class PromptMessage(val role: String, val content: String)
