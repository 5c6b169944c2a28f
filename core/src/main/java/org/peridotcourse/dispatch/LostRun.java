package org.peridotcourse.dispatch;

import java.util.Optional;
import org.peridotcourse.base.Codes;

/**
 * A run that had just started when its worker was lost, so that it may have crashed the worker. It
 * is part of the stored progress, since a successor cannot learn of it from the workers: a worker
 * that has crashed reports nothing about its runs.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param attempt the attempt number of the run
 * @param worker the id of its worker
 * @param incarnation the incarnation of the worker at the start, 0 if unknown
 * @param alone true if no other task had just started on the worker, so that no other one can have
 *     crashed it
 * @param cause what is known of the loss
 */
public record LostRun(int attempt, String worker, long incarnation, boolean alone, Cause cause) {

    /** What is known of the loss of a worker. Constants are immutable and thread-safe. */
    public enum Cause {
        /** The worker may have crashed or may be unreachable. */
        UNKNOWN,
        /** The worker has crashed. */
        CRASH,
        /** The worker has crashed at the same time as many others, so the cause is outside. */
        COMMON_CRASH;

        /**
         * Returns the code for stored rows.
         *
         * @return lower-case words joined by hyphens
         */
        public String code() {
            return Codes.of(this);
        }

        /**
         * Returns the cause with a code.
         *
         * @param code the code
         * @return the cause, or empty if no cause has the code
         */
        public static Optional<Cause> parse(String code) {
            for (Cause cause : values()) {
                if (cause.code().equals(code)) {
                    return Optional.of(cause);
                }
            }
            return Optional.empty();
        }
    }

    static LostRun of(Run run) {
        return new LostRun(
                run.attempt, run.worker.id, run.worker.incarnation, run.alone, Cause.UNKNOWN);
    }

    LostRun withAlone(boolean newAlone) {
        return new LostRun(attempt, worker, incarnation, newAlone, cause);
    }

    LostRun withCause(Cause newCause) {
        return new LostRun(attempt, worker, incarnation, alone, newCause);
    }

    /** Returns whether the worker has crashed, whatever the cause. */
    boolean isCrash() {
        return cause != Cause.UNKNOWN;
    }
}
