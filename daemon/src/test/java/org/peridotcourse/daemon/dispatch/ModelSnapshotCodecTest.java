package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.peridotcourse.dispatch.ModelSnapshot;

/**
 * Guards against a row of another format version that is decoded in part, and against rows that
 * exceed the store's row limit.
 */
class ModelSnapshotCodecTest {
    private static final int ROW_BYTES = 65_536;

    private static ModelSnapshot.ImagePair pair(String serving, String filling) {
        return new ModelSnapshot.ImagePair(
                serving, filling, List.of(0.0, -1.5, -2.25, -10.0, -10.0, -10.0));
    }

    @Test
    void modelSnapshotIsDecodedAsEncoded() {
        ModelSnapshot snapshot =
                new ModelSnapshot(
                        3,
                        Map.of("a", 0.125),
                        List.of(pair("a", "x")),
                        Map.of("q", new ModelSnapshot.EstimateError(0.25, 9)));
        ModelSnapshot read =
                ModelSnapshotCodec.decode(ModelSnapshotCodec.encode(snapshot))
                        .toOptional()
                        .orElseThrow();
        assertEquals(snapshot, read);
    }

    @Test
    void twentyServingAndFortyFillingImagesFitARow() {
        List<ModelSnapshot.ImagePair> pairs = new ArrayList<>();
        for (int i = 0; i < 20 * 40; i++) {
            pairs.add(pair("image-" + i % 20, "image-" + i / 20));
        }
        byte[] value = ModelSnapshotCodec.encode(new ModelSnapshot(1, Map.of(), pairs, Map.of()));
        assertTrue(value.length <= ROW_BYTES, value.length + " bytes");
    }

    @Test
    void anotherFormatAndDamagedRowsAreRejected() {
        for (String text : List.of("", "7", "{}", "{{", "[]", "{\"format\":2}")) {
            assertFalse(
                    ModelSnapshotCodec.decode(text.getBytes(StandardCharsets.UTF_8)).isOk(), text);
        }
    }
}
