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

/**
 * Reads and writes the stored progress of jobs. Long records are compressed, since the store bounds
 * the length of a row. It holds no state and is thread-safe.
 */
final class RecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** First byte of a compressed record; others begin with a brace. */
    private static final byte COMPRESSED_MARKER = 'z';

    /** Shorter records are not worth the processor time. */
    private static final int MAX_UNCOMPRESSED_BYTES = 4_096;

    /** A longer record is none of this system, and must not fill the memory. */
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
        ArrayNode other = JSON.createArrayNode();
        for (JobRecord.TaskRecord task : record.tasks()) {
            if (task.done() && task.failedAttempts().isEmpty()) {
                done.add(task.occurrence()).add(task.step()).add(task.index());
            } else {
                ObjectNode one = other.addObject();
                one.put("occurrence", task.occurrence());
                one.put("step", task.step());
                one.put("index", task.index());
                one.put("done", task.done());
                task.failedAttempts().forEach(one.putArray("failedAttempts")::add);
                one.put("checkpoint", task.checkpoint());
            }
        }
        if (!done.isEmpty()) {
            node.set("done", done);
        }
        if (!other.isEmpty()) {
            node.set("tasks", other);
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
            for (JsonNode one : node.path("tasks")) {
                List<Integer> failed = new ArrayList<>();
                one.path("failedAttempts").forEach(attempt -> failed.add(attempt.asInt()));
                tasks.add(
                        new JobRecord.TaskRecord(
                                one.path("occurrence").asInt(),
                                one.path("step").asInt(),
                                one.path("index").asInt(),
                                one.path("done").asBoolean(),
                                failed,
                                one.path("checkpoint").asText("")));
            }
            return Result.ok(
                    new JobRecord(state.get(), node.path("endedAtMillis").asLong(), tasks));
        } catch (IOException | DataFormatException malformed) {
            return Result.failed(new MalformedRow("progress: not JSON"));
        }
    }

    private static byte[] compress(byte[] plain) {
        if (plain.length <= MAX_UNCOMPRESSED_BYTES) {
            return plain;
        }
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream packed = new ByteArrayOutputStream(plain.length / 2);
            packed.write(COMPRESSED_MARKER);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                packed.write(chunk, 0, deflater.deflate(chunk));
            }
            return packed.toByteArray();
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
            ByteArrayOutputStream plain = new ByteArrayOutputStream(4 * value.length);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished()) {
                int read = inflater.inflate(chunk);
                boolean stuck = read == 0 && !inflater.finished();
                if (stuck || plain.size() + read > MAX_RECORD_BYTES) {
                    throw new DataFormatException("the record is cut off or too long");
                }
                plain.write(chunk, 0, read);
            }
            return plain.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
