package org.peridotcourse.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.routing.RequestInfo;
import org.peridotcourse.routing.RequestKind;

/** A request that the router has accepted and not yet finished. Confined to the router thread. */
final class PendingRequest {
    private final CallerRequest request;
    private final Caller caller;
    private final long startNanos;
    private final long deadlineMillis;
    private final long segmentMillis;

    private Optional<HttpReply> reply = Optional.empty();
    private Optional<CallerResponse> storedResponse = Optional.empty();
    private Optional<RequestKeyStore.Claim> claim = Optional.empty();

    PendingRequest(
            CallerRequest request,
            Caller caller,
            long startNanos,
            long deadlineMillis,
            long segmentMillis) {
        this.request = request;
        this.caller = caller;
        this.startNanos = startNanos;
        this.deadlineMillis = deadlineMillis;
        this.segmentMillis = segmentMillis;
    }

    CallerRequest request() {
        return request;
    }

    Caller caller() {
        return caller;
    }

    long startNanos() {
        return startNanos;
    }

    Optional<HttpReply> reply() {
        return reply;
    }

    Optional<CallerResponse> storedResponse() {
        return storedResponse;
    }

    RequestInfo toInfo() {
        return new RequestInfo(
                request.id(),
                request.customer(),
                request.service(),
                request.kind(),
                request.key(),
                deadlineMillis);
    }

    void setReply(HttpReply newReply) {
        reply = Optional.of(newReply);
    }

    void setStoredResponse(Optional<CallerResponse> response) {
        storedResponse = response;
    }

    /** Returns the claim of the request's key; the request must have a key. */
    RequestKeyStore.Claim claim() {
        if (claim.isEmpty()) {
            claim =
                    Optional.of(
                            new RequestKeyStore.Claim(
                                    request.id(),
                                    request.customer(),
                                    request.key().orElseThrow(),
                                    fingerprint()));
        }
        return claim.get();
    }

    /** Returns the request as a backend server receives it. */
    HttpCall toCall(long now) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.put(Headers.REQUEST, request.id());
        headers.put(Headers.KIND, request.kind().code());
        request.key().ifPresent(key -> headers.put(Headers.KEY, key.value()));
        headers.put(Headers.DEADLINE, Long.toString(Math.max(1, deadlineMillis - now)));
        if (request.kind() == RequestKind.WATCH) {
            headers.put(Headers.SEGMENT, Long.toString(segmentMillis));
        }
        return new HttpCall(request.method(), request.target(), headers, request.body());
    }

    private String fingerprint() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head =
                    request.service()
                            + "\n"
                            + request.method()
                            + "\n"
                            + request.target()
                            + "\n"
                            + request.kind().code()
                            + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(request.body()), 0, 16);
        } catch (NoSuchAlgorithmException missing) {
            throw new AssertionError(missing);
        }
    }
}
