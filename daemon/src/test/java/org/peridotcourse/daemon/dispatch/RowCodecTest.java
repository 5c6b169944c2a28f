package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.peridotcourse.base.LeaseRow;

/**
 * Guards against malformed rows that are decoded as empty ones, and against fields that are lost
 * between encoding and decoding.
 */
class RowCodecTest {
    private static final List<String> MALFORMED = List.of("", "7", "{}", "{\"holder\":7}", "{{");

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static StoredRow row(String text) {
        return new StoredRow(RowNames.HOSTS, "host", bytes(text), 1, false);
    }

    @Test
    void aLeaseIsReadAsWritten() {
        LeaseRow held = new LeaseRow("host/7", 3, 1_500, 12_000, 9);
        assertEquals(held, RowCodec.lease(RowCodec.lease(held)).toOptional().orElseThrow());
        LeaseRow released = new LeaseRow("", 3, 1_500, 12_000, 9);
        assertEquals(released, RowCodec.lease(RowCodec.lease(released)).toOptional().orElseThrow());
    }

    @Test
    void listsAndCountsAreReadAsWritten() {
        List<String> names = List.of("a/1", "b/2");
        assertEquals(names, RowCodec.names(RowCodec.names(names)).toOptional().orElseThrow());
        PendingCounts counts = new PendingCounts(4, Map.of("q", 3));
        assertEquals(counts, RowCodec.pending(RowCodec.pending(counts)).toOptional().orElseThrow());
    }

    @Test
    void malformedRowsAreRejected() {
        for (String text : MALFORMED) {
            assertFalse(RowCodec.lease(bytes(text)).isOk(), "lease " + text);
            assertFalse(RowCodec.names(bytes(text)).isOk(), "names " + text);
            assertFalse(RowCodec.worker(row(text)).isOk(), "fleet " + text);
            assertFalse(RowCodec.host(row(text)).isOk(), "host " + text);
            assertFalse(RowCodec.pending(bytes(text)).isOk(), "pending " + text);
        }
        assertFalse(RowCodec.pending(bytes("[]")).isOk());
        byte[] none = RowCodec.pending(new PendingCounts(1, Map.of()));
        assertTrue(RowCodec.pending(none).isOk(), "a count without queues is valid");
    }
}
