package org.peridotcourse.daemon.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.peridotcourse.CustomerId;
import org.peridotcourse.RequestKey;
import org.peridotcourse.Result;
import org.peridotcourse.ServiceId;
import org.peridotcourse.base.StringId;
import org.peridotcourse.routing.RequestKind;

/**
 * Parses the head of a request to {@code /r/<customer>/<service>/<path>}.
 *
 * <p>It holds no state and is thread-safe.
 */
final class RequestParser {
    private static final Set<String> METHODS = Set.of("GET", "POST");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final long MIN_DEADLINE_MILLIS = 10;
    private static final long MAX_DEADLINE_MILLIS = 60_000;
    private static final byte[] NO_BODY = new byte[0];

    private RequestParser() {}

    /**
     * Parses a head.
     *
     * @param id the identifier of the request
     * @param method the HTTP method
     * @param path the undecoded path
     * @param query the undecoded query, may be null
     * @param headers values by header name in lower case
     * @return the request without body, or a {@link MalformedRequest}
     */
    static Result<CallerRequest> parse(
            String id,
            String method,
            String path,
            String query,
            Map<String, List<String>> headers) {
        String[] parts = path.split("/", 5);
        if (parts.length < 4 || !parts[1].equals("r")) {
            return malformed("the path must be /r/<customer>/<service>/<path>");
        }
        if (!StringId.isValid(parts[2]) || !StringId.isValid(parts[3])) {
            return malformed("customer and service must be identifiers");
        }
        if (!METHODS.contains(method)) {
            return malformed("the method must be GET or POST");
        }
        Optional<String> kindText = joinedValues(headers, Headers.KIND);
        Optional<RequestKind> kind =
                kindText.isEmpty()
                        ? Optional.of(defaultKind(method))
                        : RequestKind.parse(kindText.get());
        if (kind.isEmpty()) {
            return malformed("Peridot-Kind must be idempotent, non-idempotent or watch");
        }
        Optional<String> key = joinedValues(headers, Headers.KEY);
        if (key.isPresent() && !RequestKey.isValid(key.get())) {
            return malformed("Peridot-Key must be 1 to 64 letters, digits, '.', '_' or '-'");
        }
        Optional<String> deadline = joinedValues(headers, Headers.DEADLINE);
        Optional<String> segment = joinedValues(headers, Headers.SEGMENT);
        if (!isAbsentOrInRange(deadline, MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS)) {
            return malformed("Peridot-Deadline-Ms must be 10 to 60000");
        }
        if (!isAbsentOrInRange(segment, 1, MAX_DEADLINE_MILLIS)) {
            return malformed("Peridot-Segment-Ms must be 1 to 60000");
        }
        String target = "/" + (parts.length > 4 ? parts[4] : "");
        return Result.ok(
                new CallerRequest(
                        id,
                        CustomerId.of(parts[2]),
                        ServiceId.of(parts[3]),
                        kind.get(),
                        key.map(RequestKey::of),
                        method,
                        query == null ? target : target + "?" + query,
                        new CallerRequest.Timing(
                                deadline.map(Long::valueOf), segment.map(Long::valueOf)),
                        forwardedHeaders(headers),
                        NO_BODY));
    }

    /**
     * Checks that the framing of the body is unambiguous.
     *
     * @param headers values by header name in lower case
     * @return the fault, or empty if the framing is valid
     */
    static Optional<MalformedRequest> checkFraming(Map<String, List<String>> headers) {
        List<String> lengths = headers.getOrDefault("content-length", List.of());
        List<String> codings = headers.getOrDefault("transfer-encoding", List.of());
        boolean oneLength =
                lengths.isEmpty()
                        || lengths.size() == 1 && lengths.get(0).trim().matches("[0-9]{1,18}");
        boolean oneCoding =
                codings.isEmpty()
                        || codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
        if (!oneLength || !oneCoding || !lengths.isEmpty() && !codings.isEmpty()) {
            return Optional.of(new MalformedRequest("the length of the body is ambiguous"));
        }
        return Optional.empty();
    }

    private static RequestKind defaultKind(String method) {
        return method.equals("GET") ? RequestKind.IDEMPOTENT : RequestKind.NON_IDEMPOTENT;
    }

    private static Optional<String> joinedValues(Map<String, List<String>> headers, String name) {
        List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
        return values == null ? Optional.empty() : Optional.of(String.join(",", values).trim());
    }

    private static boolean isAbsentOrInRange(Optional<String> text, long min, long max) {
        if (text.isEmpty()) {
            return true;
        }
        if (!NUMBER.matcher(text.get()).matches()) {
            return false;
        }
        long value = Long.parseLong(text.get());
        return value >= min && value <= max;
    }

    private static Map<String, String> forwardedHeaders(Map<String, List<String>> headers) {
        Set<String> notForwarded =
                Headers.notForwarded(headers.getOrDefault("connection", List.of()));
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.forEach(
                (name, values) -> {
                    if (!notForwarded.contains(name)) {
                        forwarded.put(
                                name, String.join(name.equals("cookie") ? "; " : ", ", values));
                    }
                });
        return forwarded;
    }

    private static Result<CallerRequest> malformed(String detail) {
        return Result.failed(new MalformedRequest(detail));
    }
}
