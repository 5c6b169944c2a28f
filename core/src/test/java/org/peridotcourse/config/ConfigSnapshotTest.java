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

/** Checks that changes in any order yield exactly the configuration of their version. */
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
     * Guards against an older version that replaces a later one, and against a mix of two versions
     * after changes are lost, repeated or delayed.
     */
    @Property(tries = 150, seed = "7", shrinking = ShrinkingMode.OFF)
    void anyDeliveryOrderYieldsTheContentOfTheVersion(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 300) int versions) {
        Random random = new Random(seed);
        List<ConfigSnapshot> history = new ArrayList<>(List.of(ConfigSnapshot.EMPTY));
        for (int version = 1; version <= versions; version++) {
            int weight = random.nextInt(3);
            ConfigEntry changed = entry(random.nextInt(400), weight, version);
            ConfigChange change = new ConfigChange(version - 1L, version, List.of(changed));
            history.add(history.get(version - 1).apply(change));
        }
        ConfigSnapshot receiver = ConfigSnapshot.EMPTY;
        for (int i = 0; i < 40; i++) {
            ConfigSnapshot sender = history.get(random.nextInt(versions + 1));
            long baseVersion = random.nextInt(versions + 1);
            Optional<ConfigChange> change =
                    sender.changesSince(random.nextBoolean() ? 0 : baseVersion);
            ConfigSnapshot next = change.map(receiver::apply).orElse(receiver);
            assertTrue(next.version() >= receiver.version());
            assertEquals(content(history.get((int) next.version())), content(next));
            Optional<ConfigChange> forwarded = next.changesSince(baseVersion);
            ConfigSnapshot secondReceiver =
                    forwarded
                            .map(history.get((int) baseVersion)::apply)
                            .orElse(history.get((int) baseVersion));
            assertEquals(
                    content(history.get((int) secondReceiver.version())), content(secondReceiver));
            assertTrue(forwarded.isEmpty() || secondReceiver.version() == next.version());
            receiver = next;
        }
    }
}
