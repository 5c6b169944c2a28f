package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The faults that the backend server stand-in injects, configured through {@code /fault}.
 *
 * <ul>
 *   <li>{@code breakAnswers}: the next N responses are cut off halfway through the body
 *   <li>{@code dieInAnswer}: the process halts in the middle of the next response
 *   <li>{@code lateAnswers}, {@code lateMillis}: the next N responses are delayed
 *   <li>{@code crossAnswers}: the next N responses are replaced by the response to another request
 *   <li>{@code silenceOpen}: all connections that are open at that time receive no more bytes
 *   <li>{@code slowFactor}: multiplies the service times
 * </ul>
 *
 * <p>This class is thread-safe.
 */
final class BackendFaults {
    private final AtomicLong responsesToTruncate = new AtomicLong();
    private final AtomicLong responsesToDelay = new AtomicLong();
    private final AtomicLong responsesToCross = new AtomicLong();
    private volatile boolean haltInResponse;
    private volatile long delayMillis = 2000;
    private volatile long lastSilentConnection;
    private volatile double slowFactor = 1;

    ObjectNode apply(JsonNode changes, long lastConnectionNumber) {
        responsesToTruncate.set(changes.path("breakAnswers").asLong(responsesToTruncate.get()));
        responsesToDelay.set(changes.path("lateAnswers").asLong(responsesToDelay.get()));
        responsesToCross.set(changes.path("crossAnswers").asLong(responsesToCross.get()));
        haltInResponse = changes.path("dieInAnswer").asBoolean(haltInResponse);
        delayMillis = changes.path("lateMillis").asLong(delayMillis);
        slowFactor = changes.path("slowFactor").asDouble(slowFactor);
        if (changes.path("silenceOpen").asBoolean(false)) {
            lastSilentConnection = lastConnectionNumber;
        }
        return Json.object()
                .put("breakAnswers", responsesToTruncate.get())
                .put("dieInAnswer", haltInResponse)
                .put("lateAnswers", responsesToDelay.get())
                .put("lateMillis", delayMillis)
                .put("crossAnswers", responsesToCross.get())
                .put("silentConnectionsUpTo", lastSilentConnection)
                .put("slowFactor", slowFactor);
    }

    boolean isSilent(long connectionNumber) {
        return connectionNumber <= lastSilentConnection;
    }

    double slowFactor() {
        return slowFactor;
    }

    boolean haltsInResponse() {
        return haltInResponse;
    }

    boolean takeTruncation() {
        return decrementIfPositive(responsesToTruncate);
    }

    boolean takeCrossing() {
        return decrementIfPositive(responsesToCross);
    }

    long takeDelayMillis() {
        return decrementIfPositive(responsesToDelay) ? delayMillis : 0;
    }

    private static boolean decrementIfPositive(AtomicLong remaining) {
        return remaining.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
