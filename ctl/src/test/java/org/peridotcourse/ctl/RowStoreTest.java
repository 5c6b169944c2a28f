package org.peridotcourse.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a write that took effect and is reported as a conflict. */
class RowStoreTest {
    private static final String ROWS = "GET /v1/rows/datacentres?prefix=xela";
    private static final String NOTHING = "200 {'commit':9,'more':false,'rows':[]}";

    private static Optional<Long> writeWithLostResponse(FakeServer platform, long expected)
            throws CtlException {
        platform.on("POST /v1/transactions", "LOST");
        platform.on("POST /v1/transactions", "409 {'conflicts':[]}");
        return new RowStore(new JsonHttp(platform.address()))
                .write(
                        "own",
                        "datacentres",
                        "xela",
                        Optional.of(JsonHttp.MAPPER.createObjectNode()),
                        expected);
    }

    /** The first row of a table has commit 1, and only later commits were searched. */
    @Test
    void ownWriteIsFoundAtTheFirstCommit() throws Exception {
        try (FakeServer platform = new FakeServer()) {
            platform.on(ROWS + "&since=1", NOTHING);
            platform.on(
                    ROWS + "&since=0&limit=500",
                    "200 {'commit':1,'more':false,'rows':["
                            + "{'key':'xela','commit':1,'writer':'own','value':{}}]}");
            assertEquals(Optional.of(1L), writeWithLostResponse(platform, 0));
        }
    }

    /** Rows of other keys with the same prefix filled the only page that was read. */
    @Test
    void ownWriteIsFoundBehindThePageOfOtherRows() throws Exception {
        try (FakeServer platform = new FakeServer()) {
            String otherRows =
                    "200 {'commit':9,'more':true,'rows':["
                            + "{'key':'xela-2','commit':6,'writer':'w','value':{}}]}";
            platform.on(ROWS + "&since=1", otherRows);
            platform.on(ROWS + "&since=4&limit=500", otherRows);
            platform.on(
                    ROWS + "&since=6&limit=500",
                    "200 {'commit':9,'more':false,'rows':["
                            + "{'key':'xela','commit':7,'writer':'own','value':{}}]}");
            assertEquals(Optional.of(7L), writeWithLostResponse(platform, 4));
        }
    }

    @Test
    void writeOfAnotherWriterIsAConflict() throws Exception {
        try (FakeServer platform = new FakeServer()) {
            String otherWriter =
                    "200 {'commit':5,'more':false,'rows':["
                            + "{'key':'xela','commit':5,'writer':'w','value':{}}]}";
            platform.on(ROWS + "&since=1", otherWriter);
            platform.on(ROWS + "&since=4&limit=500", otherWriter);
            assertEquals(Optional.empty(), writeWithLostResponse(platform, 4));
        }
    }
}
