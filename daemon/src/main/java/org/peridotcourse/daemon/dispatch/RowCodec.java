package org.peridotcourse.daemon.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.peridotcourse.Resources;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobSpec;
import org.peridotcourse.dispatch.QueueRules;
import org.peridotcourse.dispatch.StoredJob;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Encodes and decodes the values of the product's own rows. It holds no state and is thread-safe.
 */
final class RowCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte HEADER_END = '\n';

    private RowCodec() {}

    /**
     * A host as described by its row.
     *
     * @param name the name
     * @param address the address to which other hosts connect
     * @param incarnation a number that differs for each run of the host and increases
     * @param milliCores its processor capacity in thousandths of a core, 0 if unknown
     */
    record Host(String name, String address, long incarnation, int milliCores) {}

    /**
     * Encodes a job: a header line with its queue and time of acceptance, then the unchanged body.
     */
    static byte[] job(
            Optional<String> customer, QueueRules queue, long acceptedAtMillis, byte[] body) {
        ObjectNode header = JSON.createObjectNode();
        customer.ifPresent(name -> header.put("customer", name));
        header.put("queue", queue.name());
        header.put("service", queue.service());
        header.put("priority", queue.priority());
        header.put("maxAttempts", queue.maxAttempts());
        header.put("slackFactor", queue.slackFactor());
        header.put("targetMillis", queue.objectiveBaseMillis());
        header.put("acceptedAtMillis", acceptedAtMillis);
        byte[] line = bytes(header);
        byte[] row = Arrays.copyOf(line, line.length + 1 + body.length);
        row[line.length] = HEADER_END;
        System.arraycopy(body, 0, row, line.length + 1, body.length);
        return row;
    }

    /** Decodes a job. */
    static Result<StoredJob> job(StoredRow row, JobRecord record, PlatformFormat format) {
        try {
            int end = headerEnd(row.value());
            JsonNode header = JSON.readTree(row.value(), 0, end);
            if (header.path("queue").asText().isEmpty()) {
                return Result.failed(new MalformedRow("job: no queue"));
            }
            QueueRules queue =
                    new QueueRules(
                            header.path("queue").asText(),
                            header.path("service").asText(),
                            header.path("priority").asInt(),
                            header.path("maxAttempts").asInt(1),
                            header.path("slackFactor").asDouble(1),
                            header.path("targetMillis").asLong(),
                            Optional.empty());
            long acceptedAt = header.path("acceptedAtMillis").asLong();
            Result<JobSpec> spec = format.job(body(row.value()));
            Optional<String> customer =
                    Optional.of(header.path("customer").asText()).filter(name -> !name.isEmpty());
            return spec.map(
                    job -> new StoredJob(row.key(), customer, queue, job, acceptedAt, record));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("job: not JSON"));
        }
    }

    /** Returns the unchanged body of a job. */
    static byte[] body(byte[] row) {
        int end = headerEnd(row);
        return Arrays.copyOfRange(row, Math.min(row.length, end + 1), row.length);
    }

    private static int headerEnd(byte[] row) {
        for (int i = 0; i < row.length; i++) {
            if (row[i] == HEADER_END) {
                return i;
            }
        }
        return row.length;
    }

    /** Encodes the withdrawal of an id that no job had. */
    static byte[] withdrawal(long withdrawnAtMillis) {
        return bytes(JSON.createObjectNode().put("withdrawnAtMillis", withdrawnAtMillis));
    }

    /** Decodes the wall-clock time of a withdrawal. */
    static Result<Long> withdrawnAtMillis(byte[] value) {
        try {
            JsonNode time = JSON.readTree(value).path("withdrawnAtMillis");
            return time.canConvertToLong()
                    ? Result.ok(time.asLong())
                    : Result.failed(new MalformedRow("withdrawal: no time"));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("withdrawal: not JSON"));
        }
    }

    static byte[] lease(LeaseRow row) {
        ObjectNode node = JSON.createObjectNode();
        node.put("holder", row.holder());
        node.put("epoch", row.epoch());
        node.put("leaseMillis", row.leaseMillis());
        node.put("holdMillis", row.holdMillis());
        node.put("beat", row.writeNumber());
        return bytes(node);
    }

    static Result<LeaseRow> lease(byte[] value) {
        try {
            JsonNode node = JSON.readTree(value);
            boolean complete = node.path("holder").isTextual() && node.path("epoch").asLong() > 0;
            if (!complete) {
                return Result.failed(new MalformedRow("lease: no holder or no epoch"));
            }
            return Result.ok(
                    new LeaseRow(
                            node.path("holder").asText(),
                            node.path("epoch").asLong(),
                            node.path("leaseMillis").asLong(),
                            node.path("holdMillis").asLong(),
                            node.path("beat").asLong()));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("lease: not JSON"));
        }
    }

    static byte[] host(Host host) {
        ObjectNode node = JSON.createObjectNode();
        node.put("address", host.address());
        node.put("incarnation", host.incarnation());
        node.put("milliCores", host.milliCores());
        return bytes(node);
    }

    static Result<Host> host(StoredRow row) {
        try {
            JsonNode node = JSON.readTree(row.value());
            if (node.path("address").asText().isEmpty()) {
                return Result.failed(new MalformedRow("host: no address"));
            }
            return Result.ok(
                    new Host(
                            row.key(),
                            node.path("address").asText(),
                            node.path("incarnation").asLong(),
                            node.path("milliCores").asInt()));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("host: not JSON"));
        }
    }

    static byte[] pending(PendingCounts pending) {
        ObjectNode node = JSON.createObjectNode();
        node.put("epoch", pending.epoch());
        ObjectNode queues = node.putObject("queues");
        new TreeMap<>(pending.byQueue()).forEach(queues::put);
        return bytes(node);
    }

    static Result<PendingCounts> pending(byte[] value) {
        try {
            JsonNode node = JSON.readTree(value);
            if (node.path("epoch").asLong() <= 0 || !node.path("queues").isObject()) {
                return Result.failed(new MalformedRow("pending: no epoch or no queues"));
            }
            Map<String, Integer> counts = new TreeMap<>();
            node.path("queues")
                    .properties()
                    .forEach(entry -> counts.put(entry.getKey(), entry.getValue().asInt()));
            return Result.ok(new PendingCounts(node.path("epoch").asLong(), counts));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("pending: not JSON"));
        }
    }

    static byte[] names(Collection<String> names) {
        ArrayNode list = JSON.createArrayNode();
        names.forEach(list::add);
        return bytes(list);
    }

    static Result<List<String>> names(byte[] value) {
        try {
            JsonNode list = JSON.readTree(value);
            if (!list.isArray()) {
                return Result.failed(new MalformedRow("names: not a list"));
            }
            List<String> names = new ArrayList<>();
            list.forEach(name -> names.add(name.asText()));
            return Result.ok(names);
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("names: not JSON"));
        }
    }

    static byte[] worker(WorkerInfo worker) {
        ObjectNode node = JSON.createObjectNode();
        node.put("service", worker.service());
        node.put("address", worker.address());
        node.put("dataCentre", worker.dataCentre());
        worker.labels().forEach(node.putArray("labels")::add);
        node.put("milliCores", worker.capacity().milliCores());
        node.put("memoryMib", worker.capacity().memoryMib());
        node.put("accelerators", worker.capacity().accelerators());
        node.put("bornMillis", worker.startedAtMillis());
        return bytes(node);
    }

    static Result<WorkerInfo> worker(StoredRow row) {
        try {
            JsonNode node = JSON.readTree(row.value());
            if (node.path("address").asText().isEmpty()) {
                return Result.failed(new MalformedRow("fleet: no address"));
            }
            List<String> labels = new ArrayList<>();
            node.path("labels").forEach(label -> labels.add(label.asText()));
            return Result.ok(
                    new WorkerInfo(
                            row.key(),
                            node.path("service").asText(),
                            node.path("address").asText(),
                            node.path("dataCentre").asText(),
                            labels,
                            Resources.of(
                                    node.path("milliCores").asLong(),
                                    node.path("memoryMib").asLong(),
                                    node.path("accelerators").asLong()),
                            false,
                            OptionalLong.empty(),
                            node.path("bornMillis").asLong()));
        } catch (IOException malformed) {
            return Result.failed(new MalformedRow("fleet: not JSON"));
        }
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
