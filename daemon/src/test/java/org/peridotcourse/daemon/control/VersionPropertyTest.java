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

/** Checks what holds for versions in any sequence of faults and edits. */
class VersionPropertyTest {
    private static final CustomerId SHOP = CustomerId.of("shop");

    private static long weight(Cluster.Node node) {
        return node.config.snapshot().customer(SHOP).map(CustomerRow::weight).orElse(0);
    }

    /**
     * Guards against a version that goes back, is given twice with different rows, or is in force
     * without having been accepted, under any mix of pauses, outages, lost answers and edits.
     */
    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void versionsNeverGoBack(
            @ForAll @Size(min = 20, max = 60) List<@IntRange(min = 0, max = 11) Integer> steps) {
        Cluster run = new Cluster();
        for (int i = 1; i <= 4; i++) {
            run.add("d" + i, i <= 2 ? "xela" : "zacapa", 1).withAcceptor();
        }
        Map<Long, Integer> weights = new HashMap<>();
        long[] seen = new long[4];
        int edits = 0;
        for (int step : steps) {
            edits++;
            switch (step) {
                case 0, 1, 2 -> run.table.put("customers", "shop", "{'weight':" + edits + "}");
                case 3 -> run.table.put("customers", "shop", "{'weight':0}");
                case 4, 5, 6, 7 -> run.nodes.get(step - 4).running ^= true;
                case 8 -> run.table.unavailable ^= true;
                case 9 ->
                        run.table.writeFaults.add(
                                FakeTable.Fault.values()[edits % FakeTable.Fault.values().length]);
                case 10 -> run.table.applyDelayedWrites();
                default -> {
                    boolean healed =
                            run.partitionedDataCentres.remove("zacapa")
                                    || !run.partitionedDataCentres.add("zacapa");
                    run.nowMillis += healed ? 1 : 5000;
                }
            }
            run.runRounds(1 + step % 4);
            for (int i = 0; i < 4; i++) {
                Cluster.Node node = run.nodes.get(i);
                assertTrue(node.version() >= seen[i]);
                seen[i] = node.version();
                int weight = (int) weight(node);
                assertEquals(weight, weights.computeIfAbsent(seen[i], version -> weight));
            }
        }
        Optional<JsonNode> row =
                run.table.value("accepted", new RowKey(ConfigTable.CUSTOMERS, "shop").toString());
        assertTrue(row.isEmpty() || row.get().path("weight").asInt() > 0);
    }
}
