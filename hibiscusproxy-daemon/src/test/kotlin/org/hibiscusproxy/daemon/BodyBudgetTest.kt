package org.hibiscusproxy.daemon

import kotlin.test.Test
import kotlin.test.assertEquals

class BodyBudgetTest {
    /** Guards against prompts that exhaust the heap, and reservations that are never released. */
    @Test
    fun `refuses bytes over the limit and accepts them after a release`() {
        val budget = BodyBudget(100)
        val before = listOf(60, 50, 40).map(budget::tryReserve)
        budget.release(60)
        assertEquals(listOf(true, false, true, true), before + budget.tryReserve(60))
    }
}
