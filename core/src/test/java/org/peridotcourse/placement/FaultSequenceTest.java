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
 * Checks the invariants of placement under combinations of faults that single scenarios do not
 * reach.
 *
 * <p>The invariants are checked on the workers' own records and on the stored rows, not on the
 * owner's state.
 */
class FaultSequenceTest {
    private static final int SEQUENCES = 10_000;
    private static final long SEED = 20_260_101;
    private static final int DELAY_SEEDS = 16;

    /**
     * Guards against any sequence of faults that violates an invariant while all mechanisms are
     * enabled.
     */
    @Test
    void invariantsHoldInEverySequence() {
        Optional<Long> failingSeed = firstFailingSeed(SEED, SEQUENCES, FakeDaemon.noneDisabled());
        if (failingSeed.isPresent()) {
            fail(explain(failingSeed.get(), FakeDaemon.noneDisabled()));
        }
    }

    /**
     * Guards against an {@link InvariantChecker} that detects nothing: with one mechanism disabled,
     * some sequence must fail. The seed that failed when the test was written is tried first; if
     * the code has changed since, other seeds are searched.
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
        Set<SafetyMechanism> disabled = EnumSet.of(mechanism);
        Optional<String> detected = violation(seed, sequence(seed), disabled);
        if (detected.isEmpty()) {
            Optional<Long> failingSeed = firstFailingSeed(SEED, SEQUENCES, disabled);
            detected =
                    failingSeed.map(
                            found ->
                                    "seed "
                                            + found
                                            + " after a search, "
                                            + violation(found, sequence(found), disabled)
                                                    .orElse(""));
        }
        System.out.println(mechanism + " off: " + detected.orElse("no violation was detected"));
        assertTrue(detected.isPresent(), mechanism + " disabled, but no sequence fails");
    }

    private static Optional<Long> firstFailingSeed(
            long first, int count, Set<SafetyMechanism> disabled) {
        var found =
                LongStream.range(first, first + count)
                        .parallel()
                        .filter(seed -> violation(seed, sequence(seed), disabled).isPresent())
                        .findAny();
        return found.isPresent() ? Optional.of(found.getAsLong()) : Optional.empty();
    }

    private static List<Fault> sequence(long seed) {
        return Fault.sequence(new Random(seed));
    }

    private static Optional<String> violation(
            long seed, List<Fault> faults, Set<SafetyMechanism> disabled) {
        try {
            new FaultSimulation(seed, disabled).run(faults);
            return Optional.empty();
        } catch (InvariantChecker.Violation e) {
            return Optional.of(e.getMessage());
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            return Optional.of(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    /** Returns the seed and the shortest failing part of its sequence. */
    private static String explain(long seed, Set<SafetyMechanism> disabled) {
        long delaySeed = seed;
        List<Fault> shortest = sequence(seed);
        boolean shorter = true;
        while (shorter) {
            shorter = false;
            for (int i = 0; i < shortest.size() && !shorter; i++) {
                List<Fault> without = new ArrayList<>(shortest);
                without.remove(i);
                // Every message takes its delay from one generator, so a shorter sequence needs
                // another seed of the delays to reproduce the same interleaving.
                OptionalLong failing =
                        LongStream.range(0, DELAY_SEEDS)
                                .map(each -> seed + 2 * each)
                                .parallel()
                                .filter(each -> violation(each, without, disabled).isPresent())
                                .findFirst();
                if (failing.isPresent()) {
                    delaySeed = failing.getAsLong();
                    shortest = without;
                    shorter = true;
                }
            }
        }
        return "seed "
                + seed
                + ", delays "
                + delaySeed
                + ", "
                + violation(delaySeed, shortest, disabled).orElseThrow()
                + ", sequence "
                + shortest;
    }
}
