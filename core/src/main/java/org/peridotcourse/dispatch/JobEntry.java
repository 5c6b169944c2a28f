package org.peridotcourse.dispatch;

/**
 * An accepted job as the store has it.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id the id that its caller chose
 * @param queue the rules of its queue when it was accepted
 * @param spec what the caller asked for
 * @param acceptedAtMillis wall-clock time of its acceptance
 * @param record its progress
 */
public record JobEntry(
        String id, QueueRules queue, JobSpec spec, long acceptedAtMillis, JobRecord record) {}
