package org.hibiscusproxy.standins.engine

import kotlinx.serialization.Serializable

/** Answer to `GET /load`, as old as the configured lag. */
@Serializable
data class EngineLoad(
    val engine: String,
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val cold: Boolean,
    val cachedBlocks: Int,
    val lastStartMilliseconds: Long,
)

/** Answer to `GET /stats`, exact at the time of the call. */
@Serializable
data class EngineStats(
    val engine: String,
    val running: Int,
    val waiting: Int,
    val maximumRunning: Int,
    val started: Long,
    val completed: Long,
    val cancelled: Long,
    val rejected: Long,
    val promptTokens: Long,
    val cachedTokens: Long,
    val fallOvers: Long,
    val cold: Boolean,
    val lastStartMilliseconds: Long,
    val executions: Map<String, Int>,
)

/**
 * Body of `POST /orders`.
 *
 * @property kind what to do: `load-model`, `load-adapter`, `load-version` or `change-role`
 * @property value name of the model, adapter, version or role
 */
@Serializable
data class EngineOrder(val fencingNumber: Long, val kind: String, val value: String)

/** Answer to `GET /orders`: the newest accepted orders and the highest number seen. */
@Serializable
data class EngineOrders(val highestFencingNumber: Long, val orders: List<EngineOrder>)

/** Answer to `POST /v1/cancel/{requestId}`. */
@Serializable
data class CancelReply(val requestId: String, val cancelled: Boolean)

/** Cached blocks of a prefix, as exported from one engine and imported by another. */
@Serializable
data class CacheTransfer(val blocks: List<String>, val tokens: Int)
