package org.hibiscusproxy.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.readJson
import org.hibiscusproxy.standins.http.respondJson

/** State of an instance as reported by the platform. */
@Serializable
enum class InstanceState {
    /** The instance is in service. */
    @SerialName("live")
    LIVE,

    /** The instance will be removed. */
    @SerialName("leaving")
    LEAVING,
}

/** Instance in the platform's list. */
@Serializable
data class PlatformInstance(val name: String, val dataCenter: String, val state: InstanceState)

/** Body of `POST /instances`. */
@Serializable
data class NewInstanceList(val instances: List<PlatformInstance>)

/** Response to `GET /instances`. */
@Serializable
data class InstanceList(val version: Long, val instances: List<PlatformInstance>)

/**
 * History of the platform's instance list. A client reads the list with a lag, given by the query
 * parameter `lag-milliseconds` or by the configuration. The history is guarded by the lock of this
 * object.
 *
 * @param now monotonic time in nanoseconds
 */
class InstanceHistory(private val lagMilliseconds: Long, private val now: () -> Long) {
    private class Entry(val setNanoseconds: Long, val list: InstanceList)

    private val history = ArrayDeque<Entry>()

    init {
        history += Entry(Long.MIN_VALUE, InstanceList(0, emptyList()))
    }

    /** Replaces the list, which becomes visible to a client after its lag. */
    @Synchronized
    fun set(instances: List<PlatformInstance>): InstanceList {
        val duplicates = instances.groupingBy { it.name }.eachCount().filterValues { it > 1 }.keys
        require(duplicates.isEmpty()) { "instances are listed more than once: $duplicates" }
        val list = InstanceList(history.last().list.version + 1, instances)
        if (history.size == MAXIMUM_ENTRIES) history.removeFirst()
        history += Entry(now(), list)
        return list
    }

    /** The list as it was [lag] milliseconds ago, or the configured lag when null. */
    @Synchronized
    fun read(lag: Long?): InstanceList {
        val visibleUntil = now() - (lag ?: lagMilliseconds) * NANOSECONDS_PER_MILLISECOND
        return (history.lastOrNull { it.setNanoseconds <= visibleUntil } ?: history.first()).list
    }

    private companion object {
        const val MAXIMUM_ENTRIES = 1_000
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}

/** HTTP server of the simulated platform. */
class PlatformServer private constructor(private val server: StandInServer) : AutoCloseable {
    /** Address on which the platform listens. */
    val address: NetworkAddress get() = server.address

    override fun close() = server.close()

    companion object {
        /** Starts a platform on [listen] whose list lags by [lagMilliseconds]. */
        fun start(listen: NetworkAddress, lagMilliseconds: Long): PlatformServer {
            val history = InstanceHistory(lagMilliseconds, System::nanoTime)
            val server = StandInServer.start(listen, threads = 8) { config ->
                config.routes.get("/instances") {
                    it.respondJson(history.read(it.queryParam("lag-milliseconds")?.toLong()))
                }
                config.routes.post("/instances") {
                    it.respondJson(history.set(it.readJson<NewInstanceList>().instances))
                }
                config.routes.get("/health") { it.result("ok") }
            }
            return PlatformServer(server)
        }
    }
}
