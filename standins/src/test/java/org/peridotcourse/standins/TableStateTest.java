package org.peridotcourse.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests transactions and change scans of the table service. */
class TableStateTest {
    private final TableState tables = new TableState();

    /** Guards against a transaction that writes some of its rows although a check fails. */
    @Test
    void conflictLeavesRowsUnchanged() {
        commit("{'id':'a','puts':[{'table':'t','key':'x','value':{'n':1}}]}", 200);
        Reply refused =
                commit(
                        "{'id':'b','checks':[{'table':'t','key':'x','commit':0},"
                                + "{'table':'t','key':'y','commit':0}],"
                                + "'puts':[{'table':'t','key':'y','value':{}}]}",
                        409);
        assertEquals(
                "{\"conflicts\":[{\"table\":\"t\",\"key\":\"x\",\"commit\":1}]}",
                new String(refused.body()));
        assertTrue(tables.row("t", "y").path("row").isNull());
        assertEquals(
                1,
                tables.row("t", "x").path("commit").asLong(),
                "a conflict consumes no commit number");
    }

    /** Guards against a write that takes effect twice if it is repeated after a lost response. */
    @Test
    void repeatedConditionalWriteConflictsWithItself() {
        String write =
                "{'id':'w1','checks':[{'table':'t','key':'x','commit':0}],"
                        + "'puts':[{'table':'t','key':'x','value':{}}]}";
        commit(write, 200);
        commit(write, 409);
        assertEquals("w1", tables.row("t", "x").path("row").path("writer").asText());
    }

    /** Guards against a change scan that omits deleted rows. */
    @Test
    void changeScanReturnsTombstone() {
        commit("{'id':'a','puts':[{'table':'t','key':'x','value':{}}]}", 200);
        commit("{'id':'b','deletes':[{'table':'t','key':'x'}]}", 200);
        JsonNode changed = tables.rows("t", "", 1, 10).path("rows");
        assertEquals(1, changed.size());
        assertTrue(changed.get(0).path("deleted").asBoolean());
        assertEquals("b", changed.get(0).path("writer").asText());
        assertEquals(0, tables.rows("t", "", 0, 10).path("rows").size());
        commit("{'id':'c','checks':[{'table':'t','key':'x','commit':0}]}", 200);
    }

    /** Guards against rows that are lost between pages because a page ends within one commit. */
    @Test
    void pagesReturnEachRowOnce() {
        commit(
                "{'id':'a','puts':[{'table':'t','key':'k1','value':{}},"
                        + "{'table':'t','key':'k2','value':{}},"
                        + "{'table':'t','key':'k3','value':{}}]}",
                200);
        commit("{'id':'b','puts':[{'table':'t','key':'k4','value':{}}]}", 200);
        List<String> keys = new ArrayList<>();
        long since = 0;
        boolean more = true;
        while (more) {
            JsonNode page = tables.rows("t", "k", since, 2);
            for (JsonNode row : page.path("rows")) {
                keys.add(row.path("key").asText());
                since = row.path("commit").asLong();
            }
            more = page.path("more").asBoolean();
        }
        assertEquals(List.of("k1", "k2", "k3", "k4"), keys);
    }

    private Reply commit(String transaction, int status) {
        Reply reply = tables.commit(Json.parse(transaction.replace('\'', '"')));
        assertEquals(status, reply.status(), new String(reply.body()));
        return reply;
    }
}
