package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the placement promises against combinations of faults, which single scenarios do not
 * reach.
 *
 * <p>The workers' own records decide, not the owner's memory.
 */
class FaultSequenceTest {
    private static final int SEQUENCES = 10_000;
    private static final long SEED = 20_260_101;
    private static final int DELAY_SEEDS = 16;

    /** Guards against any sequence that breaks a promise with all mechanisms in place. */
    @Test
    void promisesHoldInEverySequence() {
        Optional<Long> broken = firstBroken(SEED, SEQUENCES, FakeDaemon.noMechanisms());
        if (broken.isPresent()) {
            fail(explain(broken.get(), FakeDaemon.noMechanisms()));
        }
    }

    /**
     * Guards against a judge that sees nothing: without a mechanism some sequence must fail. The
     * seed that failed when the test was written is tried first; the search follows if the code has
     * changed since.
     */
    @ParameterizedTest
    @CsvSource({
        "WORKER_EPOCH, 20263809",
        "WORKER_ATTEMPT, 20261664",
        "WORKER_LEASE, 20260886",
        "MARGIN, 20260453",
        "LEASE_CHECK, 20264698",
        "ROW_CHECK, 20260414",
        "HOLD, 20269788",
        "CONFIG_FRESHNESS, 20264168",
        "CAPACITY, 20265257"
    })
    void withoutMechanismSomeSequenceFails(SafetyMechanism mechanism, long seed) {
        Set<SafetyMechanism> off = EnumSet.of(mechanism);
        Optional<String> seen = violation(seed, sequence(seed), off);
        if (seen.isEmpty()) {
            Optional<Long> broken = firstBroken(SEED, SEQUENCES, off);
            seen =
                    broken.map(
                            found ->
                                    "seed "
                                            + found
                                            + " after a search, "
                                            + violation(found, sequence(found), off).orElse(""));
        }
        System.out.println(mechanism + " off: " + seen.orElse("nothing was seen"));
        assertTrue(seen.isPresent(), mechanism + " is not needed by any sequence");
    }

    private static Optional<Long> firstBroken(long first, int count, Set<SafetyMechanism> off) {
        var found =
                LongStream.range(first, first + count)
                        .parallel()
                        .filter(seed -> violation(seed, sequence(seed), off).isPresent())
                        .findAny();
        return found.isPresent() ? Optional.of(found.getAsLong()) : Optional.empty();
    }

    private static List<Fault> sequence(long seed) {
        return Fault.sequence(new Random(seed));
    }

    private static Optional<String> violation(
            long seed, List<Fault> faults, Set<SafetyMechanism> off) {
        try {
            new FaultSimulation(seed, off).run(faults);
            return Optional.empty();
        } catch (InvariantChecker.Violation e) {
            return Optional.of(e.getMessage());
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            return Optional.of(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    /** Returns the seed and the shortest failing part of its sequence. */
    private static String explain(long seed, Set<SafetyMechanism> off) {
        long delays = seed;
        List<Fault> shortest = sequence(seed);
        boolean shorter = true;
        while (shorter) {
            shorter = false;
            for (int i = 0; i < shortest.size() && !shorter; i++) {
                List<Fault> without = new ArrayList<>(shortest);
                without.remove(i);
                // Every message takes its delay from one generator, so a shorter sequence needs
                // another seed of the delays to meet the same interleaving.
                OptionalLong failing =
                        LongStream.range(0, DELAY_SEEDS)
                                .map(each -> seed + 2 * each)
                                .parallel()
                                .filter(each -> violation(each, without, off).isPresent())
                                .findFirst();
                if (failing.isPresent()) {
                    delays = failing.getAsLong();
                    shortest = without;
                    shorter = true;
                }
            }
        }
        return "seed "
                + seed
                + ", delays "
                + delays
                + ", "
                + violation(delays, shortest, off).orElseThrow()
                + ", sequence "
                + shortest;
    }
}
