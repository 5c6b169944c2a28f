package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * One event of a generated sequence.
 *
 * @param kind kind of event
 * @param atMillis simulated time
 * @param target number that selects the job, worker, daemon or data centre
 * @param amount number that selects a duration or a size
 */
record Fault(Kind kind, long atMillis, int target, int amount) {
    /**
     * Kinds of events. Submissions are drawn more often, so that there is work for faults to
     * disturb.
     */
    enum Kind {
        SUBMIT,
        CANCEL,
        OWNER_PAUSED,
        OWNER_KILLED,
        WORKER_KILLED,
        WORKER_CUT_OFF,
        OWNER_CUT_OFF,
        DATA_CENTRE_CUT_OFF,
        STORE_DOWN,
        ANSWER_LOST,
        REPORT_LATE,
        DATA_CENTRE_OUT,
        DATA_CENTRE_IN,
        TICK
    }

    /** Length of a sequence in simulated time. */
    static final long SEQUENCE_MILLIS = 60_000;

    static List<Fault> sequence(Random random) {
        int length = 1 + random.nextInt(40);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            Kind[] kinds = Kind.values();
            Kind kind = random.nextInt(4) == 0 ? Kind.SUBMIT : kinds[random.nextInt(kinds.length)];
            faults.add(
                    new Fault(
                            kind,
                            (long) (random.nextDouble() * SEQUENCE_MILLIS),
                            random.nextInt(100),
                            random.nextInt(100)));
        }
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return faults;
    }
}
