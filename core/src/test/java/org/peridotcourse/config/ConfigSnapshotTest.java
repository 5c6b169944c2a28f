package org.peridotcourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** Checks that changes in any order lead to exactly the configuration of their version. */
class ConfigSnapshotTest {
    private static ConfigEntry entry(int key, int weight, long version) {
        RowKey rowKey = new RowKey(ConfigTable.CUSTOMERS, "c" + key);
        Optional<TypedRow> row =
                weight == 0
                        ? Optional.empty()
                        : rowKey.table().parse("c" + key, Map.of("weight", weight)).toOptional();
        return new ConfigEntry(rowKey, version, "", row);
    }

    private static String content(ConfigSnapshot snapshot) {
        return snapshot.rows(CustomerRow.class).toString();
    }

    /**
     * Guards against an older version that replaces a later one, and against lost, repeated or late
     * changes that leave a mix of two versions in force.
     */
    @Property(tries = 150, seed = "7", shrinking = ShrinkingMode.OFF)
    void anyDeliveryOrderYieldsTheContentOfTheVersion(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 300) int versions) {
        Random random = new Random(seed);
        List<ConfigSnapshot> history = new ArrayList<>(List.of(ConfigSnapshot.EMPTY));
        for (int v = 1; v <= versions; v++) {
            int weight = random.nextInt(3);
            ConfigEntry changed = entry(random.nextInt(400), weight, v);
            ConfigChange change = new ConfigChange(v - 1L, v, List.of(changed));
            history.add(history.get(v - 1).apply(change));
        }
        ConfigSnapshot follower = ConfigSnapshot.EMPTY;
        for (int i = 0; i < 40; i++) {
            ConfigSnapshot sender = history.get(random.nextInt(versions + 1));
            long base = random.nextInt(versions + 1);
            Optional<ConfigChange> change = sender.changesSince(random.nextBoolean() ? 0 : base);
            ConfigSnapshot next = change.map(follower::apply).orElse(follower);
            assertTrue(next.version() >= follower.version());
            assertEquals(content(history.get((int) next.version())), content(next));
            Optional<ConfigChange> passedOn = next.changesSince(base);
            ConfigSnapshot third =
                    passedOn.map(history.get((int) base)::apply).orElse(history.get((int) base));
            assertEquals(content(history.get((int) third.version())), content(third));
            assertTrue(passedOn.isEmpty() || third.version() == next.version());
            follower = next;
        }
    }
}
