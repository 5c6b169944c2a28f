package org.peridotcourse.daemon.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.peridotcourse.Result;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobState;
import org.peridotcourse.dispatch.LostRun;

/**
 * Encodes and decodes the stored progress of jobs. Long records are compressed, since the store
 * limits the length of a row. It holds no state and is thread-safe.
 */
final class RecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** First byte of a compressed record; uncompressed ones begin with a brace. */
    private static final byte COMPRESSED_MARKER = 'z';

    /** Shorter records are not compressed, since this is not worth the processor time. */
    private static final int MAX_UNCOMPRESSED_BYTES = 4_096;

    /**
     * Limit of a decompressed record. A longer one was not written by this system and must not
     * exhaust the memory.
     */
    private static final int MAX_RECORD_BYTES = 16 * 1024 * 1024;

    private static final int CHUNK_BYTES = 8_192;

    private RecordCodec() {}

    static byte[] encode(JobRecord record) {
        ObjectNode node = JSON.createObjectNode();
        node.put("state", record.state().code());
        if (record.endedAtMillis() > 0) {
            node.put("endedAtMillis", record.endedAtMillis());
        }
        ArrayNode done = JSON.createArrayNode();
        ArrayNode unfinished = JSON.createArrayNode();
        for (JobRecord.TaskRecord task : record.tasks()) {
            if (task.done() && task.failedAttempts().isEmpty() && task.lostRuns().isEmpty()) {
                done.add(task.occurrence()).add(task.step()).add(task.index());
            } else {
                ObjectNode entry = unfinished.addObject();
                entry.put("occurrence", task.occurrence());
                entry.put("step", task.step());
                entry.put("index", task.index());
                entry.put("done", task.done());
                task.failedAttempts().forEach(entry.putArray("failedAttempts")::add);
                entry.put("checkpoint", task.checkpoint());
                if (!task.lostRuns().isEmpty()) {
                    encodeLostRuns(task.lostRuns(), entry.putArray("lostRuns"));
                }
            }
        }
        if (!done.isEmpty()) {
            node.set("done", done);
        }
        if (!unfinished.isEmpty()) {
            node.set("tasks", unfinished);
        }
        return compress(node.toString().getBytes(StandardCharsets.UTF_8));
    }

    static Result<JobRecord> decode(byte[] value) {
        try {
            JsonNode node = JSON.readTree(decompress(value));
            Optional<JobState> state = JobState.parse(node.path("state").asText());
            if (state.isEmpty()) {
                return Result.failed(new MalformedRow("progress: no state"));
            }
            List<JobRecord.TaskRecord> tasks = new ArrayList<>();
            JsonNode done = node.path("done");
            for (int i = 0; i + 2 < done.size(); i += 3) {
                tasks.add(
                        new JobRecord.TaskRecord(
                                done.get(i).asInt(),
                                done.get(i + 1).asInt(),
                                done.get(i + 2).asInt(),
                                true,
                                List.of(),
                                ""));
            }
            for (JsonNode entry : node.path("tasks")) {
                List<Integer> failed = new ArrayList<>();
                entry.path("failedAttempts").forEach(attempt -> failed.add(attempt.asInt()));
                tasks.add(
                        new JobRecord.TaskRecord(
                                entry.path("occurrence").asInt(),
                                entry.path("step").asInt(),
                                entry.path("index").asInt(),
                                entry.path("done").asBoolean(),
                                failed,
                                entry.path("checkpoint").asText(""),
                                decodeLostRuns(entry.path("lostRuns"))));
            }
            return Result.ok(
                    new JobRecord(state.get(), node.path("endedAtMillis").asLong(), tasks));
        } catch (IOException | DataFormatException malformed) {
            return Result.failed(new MalformedRow("progress: not JSON"));
        }
    }

    private static void encodeLostRuns(List<LostRun> lostRuns, ArrayNode array) {
        for (LostRun lost : lostRuns) {
            array.addObject()
                    .put("attempt", lost.attempt())
                    .put("worker", lost.worker())
                    .put("incarnation", lost.incarnation())
                    .put("alone", lost.alone())
                    .put("cause", lost.cause().code());
        }
    }

    private static List<LostRun> decodeLostRuns(JsonNode array) {
        List<LostRun> lostRuns = new ArrayList<>();
        for (JsonNode entry : array) {
            lostRuns.add(
                    new LostRun(
                            entry.path("attempt").asInt(),
                            entry.path("worker").asText(),
                            entry.path("incarnation").asLong(),
                            entry.path("alone").asBoolean(),
                            LostRun.Cause.parse(entry.path("cause").asText())
                                    .orElse(LostRun.Cause.UNKNOWN)));
        }
        return lostRuns;
    }

    private static byte[] compress(byte[] uncompressed) {
        if (uncompressed.length <= MAX_UNCOMPRESSED_BYTES) {
            return uncompressed;
        }
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(uncompressed);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream(uncompressed.length / 2);
            compressed.write(COMPRESSED_MARKER);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                compressed.write(chunk, 0, deflater.deflate(chunk));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] decompress(byte[] value) throws DataFormatException {
        if (value.length == 0 || value[0] != COMPRESSED_MARKER) {
            return value;
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(value, 1, value.length - 1);
            ByteArrayOutputStream uncompressed = new ByteArrayOutputStream(4 * value.length);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished()) {
                int read = inflater.inflate(chunk);
                boolean incomplete = read == 0 && !inflater.finished();
                if (incomplete || uncompressed.size() + read > MAX_RECORD_BYTES) {
                    throw new DataFormatException("the record is truncated or too long");
                }
                uncompressed.write(chunk, 0, read);
            }
            return uncompressed.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
