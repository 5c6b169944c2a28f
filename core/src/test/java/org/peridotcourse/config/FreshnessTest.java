package org.peridotcourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks the computation of the age of a configuration. */
class FreshnessTest {
    /**
     * Guards against an age that omits the transit time, and against an older confirmation that
     * replaces a newer one.
     */
    @Test
    void ageCountsFromTheSendingOfTheRequest() {
        Freshness freshness = new Freshness();
        assertEquals(Freshness.NEVER_CONFIRMED, freshness.ageMillis(5000));
        freshness.confirm(4000, 700);
        assertEquals(1700, freshness.ageMillis(5000));
        freshness.confirm(4500, 2000);
        assertEquals(1700, freshness.ageMillis(5000));
        freshness.confirm(4600, 0);
        assertEquals(400, freshness.ageMillis(5000));
    }

    /** Guards against a peer without confirmation, or with an invalid age, that lowers the age. */
    @Test
    void ignoresUnknownAndNegativeAges() {
        Freshness freshness = new Freshness();
        freshness.confirm(1000, Freshness.NEVER_CONFIRMED);
        freshness.confirm(1000, Long.MAX_VALUE);
        freshness.confirm(1000, -5000);
        assertEquals(Freshness.NEVER_CONFIRMED, freshness.ageMillis(1000));
    }
}
