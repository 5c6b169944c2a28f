package org.peridotcourse.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.platform.ObjectStore;

/**
 * Format of rows in the table {@code requests}: a claim, or a stored response.
 *
 * <p>A body of up to 16 KiB is stored in the row, a larger one in the object store. It holds no
 * state and is thread-safe.
 */
final class RequestRowFormat {
    static final String TABLE = "requests";

    private static final int MAX_BODY_IN_ROW_BYTES = 16 * 1024;

    private RequestRowFormat() {}

    /** Returns the columns of a claim. */
    static ObjectNode claimRow(String daemon, RequestKeyStore.Claim claim) {
        ObjectNode row = Responses.JSON.createObjectNode();
        row.put("daemon", daemon);
        row.put("state", "claimed");
        row.put("request", claim.request());
        row.put("fingerprint", claim.fingerprint());
        return row;
    }

    /**
     * Returns the columns of a completed request; writes a large body to the object store first.
     *
     * @return the columns, or the failure of the object store
     */
    static Result<ObjectNode> doneRow(
            String daemon, RequestKeyStore.Claim claim, HttpReply reply, ObjectStore objects) {
        CallerResponse response = Responses.fromBackend(claim.request(), reply);
        ObjectNode row = claimRow(daemon, claim);
        row.put("state", "done");
        row.put("status", response.status());
        ArrayNode headers = row.putArray("headers");
        for (Map.Entry<String, String> header : response.headers()) {
            boolean setByEntryHost =
                    header.getKey().equals(Headers.OUTCOME)
                            || header.getKey().equals(Headers.REQUEST);
            if (!setByEntryHost) {
                headers.addArray().add(header.getKey()).add(header.getValue());
            }
        }
        if (response.body().length <= MAX_BODY_IN_ROW_BYTES) {
            row.put("answer", response.body());
            return Result.ok(row);
        }
        String name = "answers/" + claim.rowKey() + "/" + claim.request();
        row.put("object", name);
        return objects.write(name, response.body()).map(written -> row);
    }

    /**
     * Returns the stored response for a repeated request.
     *
     * @return the response, or empty if its object cannot be read
     */
    static Optional<CallerResponse> toResponse(String request, JsonNode row, ObjectStore objects) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        headers.add(Map.entry(Headers.OUTCOME, "answered"));
        headers.add(Map.entry(Headers.REQUEST, request));
        for (JsonNode header : row.path("headers")) {
            headers.add(Map.entry(header.path(0).asText(), header.path(1).asText()));
        }
        return body(row, objects)
                .map(body -> new CallerResponse(row.path("status").asInt(), headers, body));
    }

    private static Optional<byte[]> body(JsonNode row, ObjectStore objects) {
        if (row.has("object")) {
            return objects.read(row.get("object").asText()).toOptional().flatMap(found -> found);
        }
        try {
            return Optional.ofNullable(row.path("answer").binaryValue());
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }
}
