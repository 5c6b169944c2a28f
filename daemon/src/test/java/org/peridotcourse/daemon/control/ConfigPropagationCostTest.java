package org.peridotcourse.daemon.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.platform.TableStore;

/**
 * Compares the bytes and the propagation times of two ways to distribute the configuration, on a
 * virtual clock. Either every daemon polls the table service, or two readers in each data centre
 * poll it and the others exchange messages with them.
 */
class ConfigPropagationCostTest {
    private static final int EDITS = 100;
    private static final int ROUNDS_PER_EDIT = 10;
    private static final long TARGET_MILLIS = 6000;

    private record Measurement(String line, long worstMillis) {}

    private static Measurement measure(int dataCentres, int daemons, boolean everyDaemonPolls) {
        Cluster cluster = new Cluster();
        cluster.remoteDataCentres = dataCentres > 1 ? Set.of("dc3", "dc4", "dc5") : Set.of();
        for (int i = 0; i < daemons; i++) {
            for (int dc = 1; dc <= dataCentres; dc++) {
                Cluster.Node node = cluster.add("d" + dc + "-" + i, "dc" + dc, 1);
                if (everyDaemonPolls) {
                    TableStore store = node;
                    ConfigReader reader = new ConfigReader(store, node.config, cluster.log);
                    node.duties.clear();
                    node.duties.add(now -> reader.refresh(now));
                }
                if (i < 2) {
                    node.withAcceptor();
                }
            }
        }
        Collections.shuffle(cluster.nodes, new Random(1));
        for (int dc = 1; dc <= dataCentres; dc++) {
            cluster.table.put("datacentres", "dc" + dc, "{'region':'r'}");
        }
        for (int i = 0; i < 500; i++) {
            cluster.table.put("customers", "customer-" + i, "{'weight':100,'max-in-flight':500}");
        }
        cluster.runRounds(30);
        return measureEdits(cluster, everyDaemonPolls);
    }

    private static Measurement measureEdits(Cluster cluster, boolean everyDaemonPolls) {
        cluster.storeBytes = 0;
        cluster.peerBytes = 0;
        cluster.crossRegionBytes = 0;
        Random random = new Random(2);
        long startMillis = cluster.nowMillis;
        List<Long> times = new ArrayList<>();
        for (int edit = 0; edit < EDITS; edit++) {
            Probe probe = new Probe(cluster, random.nextInt(cluster.nodes.size()), edit);
            cluster.nodes.forEach(node -> node.duties.add(0, probe));
            cluster.nodes.forEach(node -> node.duties.add(probe));
            cluster.runRounds(ROUNDS_PER_EDIT);
            cluster.nodes.forEach(node -> node.duties.removeIf(duty -> duty == probe));
            times.add(probe.propagatedMillis - probe.editedMillis);
        }
        Collections.sort(times);
        double seconds = (cluster.nowMillis - startMillis) / 1000.0;
        long worstMillis = times.get(times.size() - 1);
        String line =
                String.format(
                        Locale.ROOT,
                        "daemons=%d policy=%s store=%.0f B/s peers=%.0f B/s per-daemon=%.0f B/s"
                                + " between-regions=%.0f B/s p50=%d ms p99=%d ms max=%d ms",
                        cluster.nodes.size(),
                        everyDaemonPolls ? "every-daemon-polls" : "readers-and-exchange",
                        cluster.storeBytes / seconds,
                        cluster.peerBytes / seconds,
                        (cluster.storeBytes + cluster.peerBytes) / seconds / cluster.nodes.size(),
                        cluster.crossRegionBytes / seconds,
                        times.get(times.size() / 2),
                        times.get(times.size() * 99 / 100),
                        worstMillis);
        return new Measurement(line, worstMillis);
    }

    /** Edits a row in the middle of a round and records when the last daemon has installed it. */
    private static final class Probe implements Duty {
        private final Cluster cluster;
        private final int weight;
        private int callsUntilEdit;
        private long editedMillis;
        private long propagatedMillis;
        private long editVersion;

        Probe(Cluster cluster, int nodesBefore, int edit) {
            this.cluster = cluster;
            this.callsUntilEdit = 2 * nodesBefore;
            this.weight = 1 + edit % 1000;
        }

        @Override
        public void step(long nowMillis) {
            if (callsUntilEdit-- == 0) {
                editVersion =
                        cluster.table.put("customers", "customer-1", "{'weight':" + weight + "}");
                editedMillis = nowMillis;
            }
            boolean installedEverywhere =
                    editVersion > 0
                            && cluster.nodes.stream().allMatch(n -> n.version() > editVersion);
            if (installedEverywhere && propagatedMillis == 0) {
                propagatedMillis = nowMillis;
            }
        }
    }

    /**
     * Guards against propagation that takes longer than the target, with either policy. The bytes
     * are logged, to compare the cost of the two.
     */
    @Test
    void bothPoliciesMeetTheTarget() {
        List<Measurement> measurements = new ArrayList<>();
        for (int dataCentres : List.of(1, 5)) {
            measurements.add(measure(dataCentres, 8, true));
            measurements.add(measure(dataCentres, 8, false));
        }
        for (Measurement measurement : measurements) {
            System.getLogger("figures").log(System.Logger.Level.INFO, measurement.line());
            assertTrue(measurement.worstMillis() > 0 && measurement.worstMillis() <= TARGET_MILLIS);
        }
    }
}
