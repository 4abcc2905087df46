package org.hibiscusproxy.rollout

import kotlin.random.Random
import kotlin.test.Test

/** Guards against a failing version that is rolled back too late in some fleet. */
class RolloutOfFailingVersionTest {
    @Test
    fun `versions that fail are rolled back`() = RandomRollouts.assertFound(
        RandomRollouts.runs { seed ->
            val badFrom = Random(-seed).nextDouble(0.0, 3.0)
            RandomRollouts.service(
                seed,
                failure = { if (it.target != null && it.second >= badFrom) 0.4 else 0.0 },
            )
        },
    )
}
