package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The faults of the backend server stand-in, set at {@code /fault}.
 *
 * <ul>
 *   <li>{@code breakAnswers}: the next N responses end in the middle
 *   <li>{@code dieInAnswer}: the process ends in the middle of the next response
 *   <li>{@code lateAnswers}, {@code lateMillis}: the next N responses come late
 *   <li>{@code crossAnswers}: the next N responses are those of another request
 *   <li>{@code silenceOpen}: all connections that are open now get no more bytes
 *   <li>{@code slowFactor}: multiplies the service times
 * </ul>
 *
 * <p>It is thread-safe.
 */
final class BackendFaults {
    private final AtomicLong breakAnswers = new AtomicLong();
    private final AtomicLong lateAnswers = new AtomicLong();
    private final AtomicLong crossAnswers = new AtomicLong();
    private volatile boolean dieInAnswer;
    private volatile long lateMillis = 2000;
    private volatile long silentUpTo;
    private volatile double slowFactor = 1;

    ObjectNode apply(JsonNode wanted, long lastConnection) {
        breakAnswers.set(wanted.path("breakAnswers").asLong(breakAnswers.get()));
        lateAnswers.set(wanted.path("lateAnswers").asLong(lateAnswers.get()));
        crossAnswers.set(wanted.path("crossAnswers").asLong(crossAnswers.get()));
        dieInAnswer = wanted.path("dieInAnswer").asBoolean(dieInAnswer);
        lateMillis = wanted.path("lateMillis").asLong(lateMillis);
        slowFactor = wanted.path("slowFactor").asDouble(slowFactor);
        if (wanted.path("silenceOpen").asBoolean(false)) {
            silentUpTo = lastConnection;
        }
        return Json.object()
                .put("breakAnswers", breakAnswers.get())
                .put("dieInAnswer", dieInAnswer)
                .put("lateAnswers", lateAnswers.get())
                .put("lateMillis", lateMillis)
                .put("crossAnswers", crossAnswers.get())
                .put("silentConnectionsUpTo", silentUpTo)
                .put("slowFactor", slowFactor);
    }

    boolean isSilent(long connection) {
        return connection <= silentUpTo;
    }

    double slowFactor() {
        return slowFactor;
    }

    boolean takeDeath() {
        return dieInAnswer;
    }

    boolean takeBreak() {
        return take(breakAnswers);
    }

    boolean takeCross() {
        return take(crossAnswers);
    }

    long takeDelayMillis() {
        return take(lateAnswers) ? lateMillis : 0;
    }

    private static boolean take(AtomicLong left) {
        return left.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
