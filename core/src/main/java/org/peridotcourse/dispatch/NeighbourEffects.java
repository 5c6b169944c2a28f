package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns which filling images slow which serving images down, from the response times that serving
 * tasks report.
 *
 * <p>For each pair of images it keeps the log-odds that the pair is harmful. A report about several
 * filling images counts for each of them by how well the others explain it. Beliefs fade, since
 * effects change and a wrong belief would keep a pair apart for ever. Confined to one thread.
 */
final class NeighbourEffects {
    /** Probability below which a pair may share a worker; that of an unknown pair is lower. */
    static final double ALLOWED = 0.4;

    private static final double PRIOR = 0.3;
    private static final double OVER_IF_HARMFUL = 0.7;
    private static final double OVER_IF_ALONE = 0.1;

    /** Reports that follow each other say much the same. */
    private static final double EVIDENCE_WEIGHT = 0.6;

    private static final double MOST_LOG_ODDS = 4;
    private static final double HALF_LIFE_MILLIS = 20_000;

    private final Map<Pair, Belief> beliefs = new HashMap<>();

    /** A serving and a filling image. */
    private record Pair(String serving, String filling) {}

    /** Log-odds beyond those of an unknown pair. */
    private static final class Belief {
        double evidence;
        long at;
    }

    /** Returns the probability that a filling image slows a serving one down. */
    double harm(String serving, String filling, long now) {
        Belief belief = beliefs.get(new Pair(serving, filling));
        return probability(belief == null ? 0 : faded(belief, now));
    }

    /**
     * Takes a report of a serving task.
     *
     * @param over whether its response time was over the bound
     * @param fillings the images of the filling tasks at work beside it
     */
    void observe(String serving, boolean over, Collection<String> fillings, long now) {
        Map<String, Double> updates = new HashMap<>();
        for (String filling : fillings) {
            double others = 1;
            for (String other : fillings) {
                others *= other.equals(filling) ? 1 : 1 - harm(serving, other, now);
            }
            double overAnyway = others * OVER_IF_ALONE + (1 - others) * OVER_IF_HARMFUL;
            double ratio =
                    over ? OVER_IF_HARMFUL / overAnyway : (1 - OVER_IF_HARMFUL) / (1 - overAnyway);
            updates.put(filling, EVIDENCE_WEIGHT * Math.log(ratio));
        }
        updates.forEach((filling, change) -> add(new Pair(serving, filling), change, now));
    }

    private void add(Pair pair, double change, long now) {
        Belief belief = beliefs.computeIfAbsent(pair, key -> new Belief());
        double evidence = faded(belief, now) + change;
        belief.evidence = Math.max(-MOST_LOG_ODDS, Math.min(MOST_LOG_ODDS, evidence));
        belief.at = now;
    }

    private static double faded(Belief belief, long now) {
        return belief.evidence * Math.pow(0.5, (now - belief.at) / HALF_LIFE_MILLIS);
    }

    private static double probability(double evidence) {
        double odds = PRIOR / (1 - PRIOR) * Math.exp(evidence);
        return odds / (1 + odds);
    }
}
