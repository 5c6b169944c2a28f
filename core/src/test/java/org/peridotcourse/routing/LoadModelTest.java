package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a routing policy that misses the targets for tail latency, goodput, fairness and
 * recovery, in a simulation with 30 servers of 8 slots each and 8 entry hosts.
 */
class LoadModelTest {
    private static final long SEED = 4;

    private static LoadModel model(double load) {
        LoadModel model = new LoadModel();
        model.load = load;
        model.seconds = 3;
        return model;
    }

    private static LoadModel.Result printed(String name, double load, LoadModel.Result result) {
        System.out.printf("%4.0f%% load, %-10s %s%n", load * 100, name, result);
        return result;
    }

    @Test
    void tailAndGoodputMeetTheTargetsAtEveryLoad() {
        for (double load : new double[] {0.5, 0.8, 1.0, 1.5, 3.0}) {
            LoadModel random = model(load);
            random.settings = random.settings.withPolicy(RoutingPolicy.RANDOM);
            printed("random", load, random.run(SEED));
            LoadModel.Result ideal = printed("ideal", load, model(load).runIdeal(SEED));
            LoadModel.Result loadAware = printed("load-aware", load, model(load).run(SEED));
            if (load <= 0.8) {
                assertTrue(loadAware.p99() <= 2 * ideal.p99(), "p99 at " + load);
            }
            if (load > 1) {
                assertTrue(loadAware.goodput() >= 0.9, "goodput at " + load);
            }
        }
    }

    @Test
    void tailMeetsTheTargetAt80PercentLoadWithUnevenHostsOrSlowServers() {
        LoadModel.Result ideal = model(0.8).runIdeal(SEED);
        LoadModel skewed = model(0.8);
        skewed.skewedArrivals = true;
        assertTrue(printed("skewed", 0.8, skewed.run(SEED)).p99() <= 2 * ideal.p99());
        LoadModel sevenHosts = model(0.8);
        sevenHosts.hosts = 7;
        assertTrue(printed("7 hosts", 0.8, sevenHosts.run(SEED)).p99() <= 2 * ideal.p99());
        LoadModel slowModel = model(0.8);
        slowModel.slowServers = 3;
        LoadModel.Result withSlowServers = printed("3 slow", 0.8, slowModel.run(SEED));
        assertTrue(withSlowServers.p99() <= 2 * ideal.p99());
        // A selection that ignores latency exceeds this bound, but not the one on p99.
        assertTrue(withSlowServers.p999() <= 2 * ideal.p999(), "p99.9 with slow servers");
        LoadModel refusingModel = model(0.8);
        refusingModel.maxWaiting = 0;
        LoadModel.Result result = printed("refusing", 0.8, refusingModel.run(SEED));
        assertTrue(result.p99() <= 2 * ideal.p99());
        assertTrue(result.retryRatio() <= 0.1);
    }

    @Test
    void customerWithinItsWeightKeepsItsShareAgainstAFlood() {
        // The second of two customers with equal weights offers a load of 45% of the capacity. Ties
        // in the queue favour the first customer, so they do not help the second one.
        LoadModel model = model(3.0);
        model.arrivalShares = new double[] {0.85, 0.15};
        LoadModel.Result result = printed("flood", 3.0, model.run(SEED));
        assertTrue(result.shares()[1] >= 0.95 * 0.45, "share " + result.shares()[1]);
        assertTrue(result.goodput() >= 0.9);
    }

    @Test
    void goodputReturnsAfterAFaultWithoutASecondCollapse() {
        for (double load : new double[] {0.8, 1.5}) {
            LoadModel model = model(load);
            model.seconds = 10;
            model.faultyServers = 15;
            LoadModel.Result result = printed("fault", load, model.run(SEED));
            double[] goodputPerSecond = result.goodputPerSecond();
            double normalGoodput = Math.min(goodputPerSecond[1], 0.95);
            for (int second = 6; second < 10; second++) {
                assertTrue(goodputPerSecond[second] >= 0.9 * normalGoodput, "second " + second);
            }
        }
    }
}
