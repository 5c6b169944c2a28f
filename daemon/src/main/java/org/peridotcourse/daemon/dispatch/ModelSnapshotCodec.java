package org.peridotcourse.daemon.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.Result;
import org.peridotcourse.dispatch.ModelSnapshot;

/** Encodes and decodes the model snapshot of an owner. It holds no state and is thread-safe. */
final class ModelSnapshotCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Version of the format; rows with another version are rejected. */
    private static final int FORMAT = 1;

    /** Evidence is stored in hundredths, which is finer than its accuracy. */
    private static final double EVIDENCE_SCALE = 100;

    private ModelSnapshotCodec() {}

    static byte[] encode(ModelSnapshot snapshot) {
        ObjectNode node = JSON.createObjectNode();
        node.put("format", FORMAT);
        node.put("period", snapshot.periodIndex());
        snapshot.meanHeadroomByImage().forEach(node.putObject("imageMeans")::put);
        ArrayNode pairs = node.putArray("pairs");
        for (ModelSnapshot.ImagePair pair : snapshot.imagePairs()) {
            ArrayNode row = pairs.addArray().add(pair.serving()).add(pair.filling());
            pair.logOdds().forEach(value -> row.add(Math.round(EVIDENCE_SCALE * value)));
        }
        ObjectNode estimates = node.putObject("estimates");
        snapshot.estimateErrors()
                .forEach(
                        (queue, estimateError) ->
                                estimates
                                        .putArray(queue)
                                        .add(estimateError.meanLogError())
                                        .add(estimateError.sampleCount()));
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    static Result<ModelSnapshot> decode(byte[] value) {
        try {
            JsonNode node = JSON.readTree(value);
            if (node.path("format").asInt() != FORMAT) {
                return Result.failed(new MalformedRow("learned: unsupported format"));
            }
            Map<String, Double> means = new HashMap<>();
            node.path("imageMeans")
                    .properties()
                    .forEach(
                            entry ->
                                    putIfPositive(
                                            means, entry.getKey(), entry.getValue().asDouble()));
            List<ModelSnapshot.ImagePair> pairs = new ArrayList<>();
            node.path("pairs").forEach(row -> pairs.add(pair(row)));
            Map<String, ModelSnapshot.EstimateError> estimates = new HashMap<>();
            node.path("estimates")
                    .properties()
                    .forEach(entry -> estimates.put(entry.getKey(), estimate(entry.getValue())));
            return Result.ok(
                    new ModelSnapshot(node.path("period").asInt(), means, pairs, estimates));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("learned: not JSON"));
        }
    }

    private static void putIfPositive(Map<String, Double> means, String image, double mean) {
        if (mean > 0) {
            means.put(image, mean);
        }
    }

    private static ModelSnapshot.ImagePair pair(JsonNode row) {
        List<Double> evidence = new ArrayList<>();
        for (int i = 2; i < row.size(); i++) {
            evidence.add(row.get(i).asLong() / EVIDENCE_SCALE);
        }
        return new ModelSnapshot.ImagePair(row.path(0).asText(), row.path(1).asText(), evidence);
    }

    private static ModelSnapshot.EstimateError estimate(JsonNode row) {
        return new ModelSnapshot.EstimateError(row.path(0).asDouble(), row.path(1).asInt());
    }
}
