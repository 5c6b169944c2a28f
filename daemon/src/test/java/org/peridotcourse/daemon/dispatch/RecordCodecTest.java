package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobState;
import org.peridotcourse.dispatch.LostRun;

/**
 * Guards against records that exceed the row limit, and against damaged records that are decoded as
 * new ones.
 */
class RecordCodecTest {
    private static final int ROW_BYTES = 65_536;
    private static final int TASKS = 10_000;

    private static JobRecord running(boolean done, List<Integer> failed, Random checkpointSource) {
        List<JobRecord.TaskRecord> tasks = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            String checkpoint =
                    checkpointSource == null
                            ? ""
                            : String.format("%016x", checkpointSource.nextLong());
            tasks.add(new JobRecord.TaskRecord(0, i % 7, i, done, failed, checkpoint));
        }
        return new JobRecord(JobState.RUNNING, 0, tasks);
    }

    private static JobRecord roundTrip(JobRecord record) {
        return RecordCodec.decode(RecordCodec.encode(record)).toOptional().orElseThrow();
    }

    @Test
    void aRecordIsReadAsWritten() {
        JobRecord small =
                new JobRecord(
                        JobState.RUNNING,
                        0,
                        List.of(
                                new JobRecord.TaskRecord(0, 0, 1, true, List.of(), ""),
                                new JobRecord.TaskRecord(0, 1, 2, false, List.of(3, 4), "c")));
        assertEquals(small, roundTrip(small));
        JobRecord large = running(false, List.of(1, 2), new Random(1));
        assertEquals(large, roundTrip(large));
    }

    /** A successor forgot the crashes that its predecessor had stored, and counted anew. */
    @Test
    void lostRunsAreReadAsWrittenAlsoInAShortenedRecord() {
        List<LostRun> lostRuns =
                List.of(
                        new LostRun(1001, "w1", 1_772_000_000_123L, true, LostRun.Cause.UNKNOWN),
                        new LostRun(2, "w1", 5, false, LostRun.Cause.COMMON_CRASH),
                        new LostRun(1, "w2", 0, false, LostRun.Cause.CRASH));
        JobRecord record =
                new JobRecord(
                        JobState.RUNNING,
                        0,
                        List.of(
                                new JobRecord.TaskRecord(
                                        0, 1, 2, false, List.of(), "c", lostRuns)));
        assertEquals(record, roundTrip(record));
        JobRecord shortened = roundTrip(record.withoutCheckpoints());
        assertEquals(lostRuns, shortened.tasks().get(0).lostRuns());
    }

    @Test
    void theRecordOfALargeJobFitsARow() {
        assertTrue(RecordCodec.encode(running(true, List.of(), null)).length <= ROW_BYTES);
        JobRecord worst = running(false, List.of(1001, 1002), new Random(1));
        assertTrue(RecordCodec.encode(worst.withoutCheckpoints()).length <= ROW_BYTES);
        assertEquals(
                TASKS, worst.withoutCheckpoints().tasks().size(), "failed attempts are retained");
    }

    @Test
    void damagedRecordsAreRejected() {
        for (String text : List.of("", "7", "{}", "{{", "z", "znonsense")) {
            byte[] value = text.getBytes(StandardCharsets.UTF_8);
            assertFalse(RecordCodec.decode(value).isOk(), text);
        }
        byte[] encoded = RecordCodec.encode(running(true, List.of(), null));
        assertFalse(
                RecordCodec.decode(Arrays.copyOf(encoded, encoded.length / 2)).isOk(), "truncated");
    }
}
