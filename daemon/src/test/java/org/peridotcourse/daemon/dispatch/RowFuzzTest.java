package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobState;
import org.peridotcourse.dispatch.LostRun;
import org.peridotcourse.dispatch.ModelSnapshot;

/**
 * Guards against a damaged row that ends the owner session: decoders must return a failure and not
 * throw.
 */
class RowFuzzTest {
    private static final int TRIES = 3_000;
    private static final String SEED = "77";

    /** Fragments that replace a part of the text. */
    private static final List<String> FRAGMENTS =
            List.of(
                    "null",
                    "[]",
                    "{}",
                    "-1",
                    "1e999",
                    "\"\"",
                    "[[",
                    "}",
                    "99999999999999999999",
                    "\"7\"",
                    "true");

    private static final byte[] LEASE = RowCodec.lease(new LeaseRow("host/5", 3, 1_500, 8_000, 2));
    private static final byte[] HOST =
            RowCodec.host(new RowCodec.Host("host", "127.0.0.1:9", 5, 300));
    private static final byte[] PENDING =
            RowCodec.pending(new PendingCounts(3, Map.of("q", 1, "r", 2)));
    private static final byte[] NAMES = RowCodec.names(List.of("a/1", "b/2"));
    private static final byte[] WORKER =
            ("{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"dataCentre\":\"d\",\"labels\":"
                            + "[\"l\"],\"milliCores\":4,\"memoryMib\":5,\"accelerators\":6,"
                            + "\"bornMillis\":7}")
                    .getBytes(StandardCharsets.UTF_8);
    private static final byte[] RECORD =
            RecordCodec.encode(
                    new JobRecord(
                            JobState.RUNNING,
                            0,
                            List.of(
                                    new JobRecord.TaskRecord(0, 0, 1, true, List.of(), ""),
                                    new JobRecord.TaskRecord(
                                            0,
                                            1,
                                            2,
                                            false,
                                            List.of(3),
                                            "c",
                                            List.of(
                                                    new LostRun(
                                                            4,
                                                            "w",
                                                            5,
                                                            true,
                                                            LostRun.Cause.CRASH))))));
    private static final byte[] LEARNED =
            ModelSnapshotCodec.encode(
                    new ModelSnapshot(
                            2,
                            Map.of("i", 0.5),
                            List.of(new ModelSnapshot.ImagePair("i", "j", List.of(0.0, -1.0))),
                            Map.of("q", new ModelSnapshot.EstimateError(0.1, 4))));

    /** Replaces a part of the text by a fragment or by one random byte. */
    private static byte[] damaged(byte[] value, long seed) {
        Random random = new Random(seed);
        String text = new String(value, StandardCharsets.ISO_8859_1);
        int from = random.nextInt(text.length());
        int to = Math.min(text.length(), from + random.nextInt(12));
        String replacement =
                random.nextBoolean()
                        ? FRAGMENTS.get(random.nextInt(FRAGMENTS.size()))
                        : Character.toString((char) random.nextInt(256));
        return (text.substring(0, from) + replacement + text.substring(to))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void check(
            byte[] value, long seed, Function<StoredRow, ? extends Result<?>> reader) {
        StoredRow row = new StoredRow("t", "key", damaged(value, seed), 1, false);
        assertNotNull(reader.apply(row));
    }

    @Property(tries = TRIES, seed = SEED)
    void damagedRowsAreReadOrRejected(@ForAll @LongRange(max = 1_000_000) long seed) {
        check(LEASE, seed, row -> RowCodec.lease(row.value()));
        check(HOST, seed, RowCodec::host);
        check(PENDING, seed, row -> RowCodec.pending(row.value()));
        check(NAMES, seed, row -> RowCodec.names(row.value()));
        check(WORKER, seed, RowCodec::worker);
        check(RECORD, seed, row -> RecordCodec.decode(row.value()));
        check(LEARNED, seed, row -> ModelSnapshotCodec.decode(row.value()));
    }

    @Property(tries = TRIES, seed = SEED)
    void damagedCompressedRecordsAreReadOrRejected(@ForAll @LongRange(max = 1_000_000) long seed) {
        List<JobRecord.TaskRecord> tasks =
                java.util.stream.IntStream.range(0, 400)
                        .mapToObj(
                                index ->
                                        new JobRecord.TaskRecord(
                                                0, 0, index, false, List.of(index), ""))
                        .toList();
        byte[] packed = RecordCodec.encode(new JobRecord(JobState.RUNNING, 0, tasks));
        check(packed, seed, row -> RecordCodec.decode(row.value()));
    }

    @Property(tries = 200, seed = SEED)
    void anEmptyRowIsRejected(@ForAll @LongRange(max = 1_000_000) long seed) {
        byte[] emptyRow = new byte[0];
        assertNotNull(RowCodec.lease(emptyRow));
        assertNotNull(RowCodec.pending(emptyRow));
        assertNotNull(RowCodec.names(emptyRow));
        assertNotNull(RecordCodec.decode(emptyRow));
        assertNotNull(ModelSnapshotCodec.decode(emptyRow));
        assertNotNull(Optional.of(RowCodec.body(emptyRow)));
    }
}
