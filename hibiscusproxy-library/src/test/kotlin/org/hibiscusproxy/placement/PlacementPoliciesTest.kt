package org.hibiscusproxy.placement

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.LoadReport
import org.junit.jupiter.api.Nested

/** Guards against entries that disagree and against membership changes that move many chats. */
class PlacementPoliciesTest {
    private fun candidate(
        index: Int,
        load: LoadReport? = null,
        weight: Double = 1.0,
        distance: Duration = Duration.ZERO,
    ) = PlacementCandidate(
        Target(
            TargetName("engine-$index"),
            ServiceName("chat"),
            DataCenterName("dc"),
            NetworkAddress("127.0.0.1", 1),
            weight = weight,
        ),
        load,
        distance,
    )

    private fun key(systemPrompt: String, chat: String) = PrefixKeys.ofChat(
        ModelName("m"),
        null,
        listOf(PromptMessage("system", systemPrompt), PromptMessage("user", chat)),
    )

    private fun policy(name: String) =
        PlacementPolicies.byName(name).getOrThrow { IllegalArgumentException(it.toString()) }

    @Nested
    inner class AllPolicies {
        @Test
        fun `entries with the same candidates in another order agree`() {
            val candidates = List(6) { candidate(it) }
            for (name in PlacementPolicies.names) {
                for (chat in 0 until 100) {
                    val key = key("manual", "$chat")
                    val ranked = policy(name).rank(key, candidates)
                    assertEquals(ranked, policy(name).rank(key, candidates.reversed()), name)
                    assertEquals(6, ranked.toSet().size, name)
                }
            }
        }

        @Test
        fun `no candidates yield no targets and an unknown name is reported`() {
            for (name in PlacementPolicies.names) {
                assertEquals(emptyList(), policy(name).rank(PrefixKey(1), emptyList()))
            }
            assertEquals("nearest", PlacementPolicies.byName("nearest").getError()?.name)
        }
    }

    @Nested
    inner class Rendezvous {
        @Test
        fun `a joining target moves no chat between the others`() {
            val six = List(6) { candidate(it) }
            val policy = RendezvousPlacement()
            val preferred = List(2_000) { key("m", "$it") }.map { key ->
                policy.preferredTarget(key, six) to policy.preferredTarget(key, six + candidate(6))
            }

            val moved = preferred.filter { it.first != it.second }
            assertTrue(moved.all { it.second == TargetName("engine-6") })
            assertTrue(abs(moved.size - 2_000 / 7) < 60, "${moved.size} moved")
        }

        @Test
        fun `a target gets chats in proportion to its weight and none at weight zero`() {
            val targets =
                listOf(candidate(0), candidate(1, weight = 3.0), candidate(2, weight = 0.0))
            val preferred = List(4_000) {
                RendezvousPlacement().preferredTarget(key("m", "$it"), targets)
            }

            assertTrue(abs(preferred.count { it == TargetName("engine-1") } - 3_000) < 120)
            assertEquals(0, preferred.count { it == TargetName("engine-2") })
        }
    }

    @Nested
    inner class BoundedAffinity {
        private val policy = BoundedAffinityPlacement()

        @Test
        fun `one system prompt uses three targets and many use all targets`() {
            val candidates = List(6) { candidate(it) }
            val preferred = List(200) { policy.preferredTarget(key("manual", "$it"), candidates) }
            val spread = List(200) { policy.preferredTarget(key("manual $it", "chat"), candidates) }

            assertEquals(3, preferred.toSet().size)
            assertEquals(6, spread.toSet().size)
        }

        @Test
        fun `later turns keep the key and another system prompt, model or chat changes it`() {
            val opening = listOf(PromptMessage("system", "s"), PromptMessage("user", "u"))
            val later = opening + PromptMessage("assistant", "a") + PromptMessage("user", "v")
            val key = PrefixKeys.ofChat(ModelName("m"), null, opening)

            assertEquals(key, PrefixKeys.ofChat(ModelName("m"), null, later))
            assertNotEquals(key, PrefixKeys.ofChat(ModelName("n"), null, opening))
            assertNotEquals(key, PrefixKeys.ofChat(ModelName("m"), ModelName("a"), opening))
            assertNotEquals(key, key("s", "w"))
            assertNotEquals(key, key("t", "u"))
        }

        @Test
        fun `the preferred target is first at any load, then free targets, then full ones`() {
            val key = key("manual", "chat")
            val idle = List(6) { candidate(it) }
            val order = policy.rank(key, idle)
            val loaded = idle.map {
                val isFull = it.target.name in listOf(order[0], order[1])
                it.copy(load = LoadReport(if (isFull) 16 else 4, 0, 16))
            }

            val ranked = policy.rank(key, loaded)
            assertEquals(order[0], ranked.first())
            assertEquals(order[1], ranked.last())
        }

        @Test
        fun `a nearer target comes first unless a cached prefix saves more`() {
            val key = key("manual", "chat")
            val near = List(6) { candidate(it) }
            val order = policy.rank(key, near)
            val far = near.map {
                val distance = if (it.target.name == order[3]) 10 else 1
                it.copy(distance = distance.milliseconds)
            }
            assertEquals(order[4], policy.rank(key, far)[3])

            val farPreferred = near.map {
                if (it.target.name == order[0]) it.copy(distance = 20.milliseconds) else it
            }
            assertEquals(order[0], policy.rank(key, farPreferred)[0])
        }
    }
}
