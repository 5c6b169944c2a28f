package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a customer that fills the store by cancelling ids that no job ever had. */
class WithdrawalLimiterTest {
    private static final long START = 1_000;
    private static final Optional<String> NORTE = Optional.of("norte");
    private static final Optional<String> SUR = Optional.of("sur");

    private final WithdrawalLimiter limiter = new WithdrawalLimiter();

    private void takeAll(Optional<String> customer) {
        for (int i = 0; i < WithdrawalLimiter.BURST; i++) {
            assertEquals(0, limiter.tryTake(customer, START));
        }
    }

    @Test
    void aCustomerThatExceedsItsLimitIsToldWhenToComeBack() {
        takeAll(NORTE);
        long wait = limiter.tryTake(NORTE, START);
        assertEquals(WithdrawalLimiter.INTERVAL_MILLIS, wait);
        assertTrue(limiter.tryTake(NORTE, START + wait - 1) > 0);
        assertEquals(0, limiter.tryTake(NORTE, START + wait));
        assertTrue(limiter.tryTake(NORTE, START + wait) > 0);
    }

    @Test
    void aCustomerDoesNotUseTheLimitOfAnother() {
        takeAll(NORTE);
        assertEquals(0, limiter.tryTake(SUR, START));
        assertEquals(0, limiter.tryTake(Optional.empty(), START));
    }

    @Test
    void aBucketIsFullAgainAfterAPause() {
        takeAll(NORTE);
        long later = START + WithdrawalLimiter.BURST * WithdrawalLimiter.INTERVAL_MILLIS;
        for (int i = 0; i < WithdrawalLimiter.BURST; i++) {
            assertEquals(0, limiter.tryTake(NORTE, later));
        }
        assertTrue(limiter.tryTake(NORTE, later) > 0);
    }
}
