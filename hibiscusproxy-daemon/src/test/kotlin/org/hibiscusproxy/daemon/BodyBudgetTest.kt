package org.hibiscusproxy.daemon

import kotlin.test.Test
import kotlin.test.assertEquals

class BodyBudgetTest {
    /** Guards against a heap that long prompts exhaust, and against bytes that are never returned. */
    @Test
    fun `refuses what does not fit and takes it after a release`() {
        val budget = BodyBudget(100)
        val before = listOf(60, 50, 40).map(budget::tryReserve)
        budget.release(60)
        assertEquals(listOf(true, false, true, true), before + budget.tryReserve(60))
    }
}
