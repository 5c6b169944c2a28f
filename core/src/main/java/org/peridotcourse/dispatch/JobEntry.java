package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * An accepted job as the store has it.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id the id that its caller chose
 * @param customer the name of its customer, empty if it belongs to none
 * @param queue the rules of its queue when it was accepted
 * @param spec what the caller asked for
 * @param acceptedAtMillis wall-clock time of its acceptance
 * @param record its progress
 */
public record JobEntry(
        String id,
        Optional<String> customer,
        QueueRules queue,
        JobSpec spec,
        long acceptedAtMillis,
        JobRecord record) {}
