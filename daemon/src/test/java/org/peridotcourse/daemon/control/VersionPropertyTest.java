package org.peridotcourse.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.peridotcourse.CustomerId;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.CustomerRow;
import org.peridotcourse.config.RowKey;

/** Tests invariants of configuration versions under random sequences of faults and edits. */
class VersionPropertyTest {
    private static final CustomerId SHOP = CustomerId.of("shop");

    private static long weight(Cluster.Node node) {
        return node.config.snapshot().customer(SHOP).map(CustomerRow::weight).orElse(0);
    }

    /**
     * Guards against a version that decreases, a version number with two different contents, and
     * rows in force that were not accepted, under any mix of pauses, outages, lost responses and
     * edits.
     */
    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void versionsNeverDecrease(
            @ForAll @Size(min = 20, max = 60) List<@IntRange(min = 0, max = 11) Integer> steps) {
        Cluster cluster = new Cluster();
        for (int i = 1; i <= 4; i++) {
            cluster.add("d" + i, i <= 2 ? "xela" : "zacapa", 1).withAcceptor();
        }
        Map<Long, Integer> weights = new HashMap<>();
        long[] lastVersions = new long[4];
        int edits = 0;
        for (int step : steps) {
            edits++;
            switch (step) {
                case 0, 1, 2 -> cluster.table.put("customers", "shop", "{'weight':" + edits + "}");
                case 3 -> cluster.table.put("customers", "shop", "{'weight':0}");
                case 4, 5, 6, 7 -> cluster.nodes.get(step - 4).running ^= true;
                case 8 -> cluster.table.unavailable ^= true;
                case 9 ->
                        cluster.table.writeFaults.add(
                                FakeTable.Fault.values()[edits % FakeTable.Fault.values().length]);
                case 10 -> cluster.table.applyDelayedWrites();
                default -> {
                    boolean partitionEnded =
                            cluster.partitionedDataCentres.remove("zacapa")
                                    || !cluster.partitionedDataCentres.add("zacapa");
                    cluster.nowMillis += partitionEnded ? 1 : 5000;
                }
            }
            cluster.runRounds(1 + step % 4);
            for (int i = 0; i < 4; i++) {
                Cluster.Node node = cluster.nodes.get(i);
                assertTrue(node.version() >= lastVersions[i]);
                lastVersions[i] = node.version();
                int weight = (int) weight(node);
                assertEquals(weight, weights.computeIfAbsent(lastVersions[i], version -> weight));
            }
        }
        Optional<JsonNode> row =
                cluster.table.value(
                        "accepted", new RowKey(ConfigTable.CUSTOMERS, "shop").toString());
        assertTrue(row.isEmpty() || row.get().path("weight").asInt() > 0);
    }
}
