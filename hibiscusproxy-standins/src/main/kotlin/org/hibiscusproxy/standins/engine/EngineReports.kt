package org.hibiscusproxy.standins.engine

import kotlinx.serialization.Serializable

/** Response to `GET /load`, delayed by the configured report lag. */
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

/** Response to `GET /stats`, without lag. */
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
 * @property kind type of the order: `load-model`, `load-adapter`, `load-version` or `change-role`
 * @property value name of the model, adapter, version or role
 */
@Serializable
data class EngineOrder(val fencingNumber: Long, val kind: String, val value: String)

/** Response to `GET /orders`: the newest accepted orders and the highest fencing number seen. */
@Serializable
data class EngineOrders(val highestFencingNumber: Long, val orders: List<EngineOrder>)

/** Response to `POST /v1/cancel/{requestId}`. */
@Serializable
data class CancelReply(val requestId: String, val cancelled: Boolean)

/** Cached blocks of a prefix, exported by one engine and imported by another. */
@Serializable
data class CacheTransfer(val blocks: List<String>, val tokens: Int)
