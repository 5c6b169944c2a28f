package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * An accepted job as read from the store.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id the id that the caller chose
 * @param customer the name of its customer, empty if it belongs to none
 * @param queueRules the rules of its queue when it was accepted
 * @param spec the specification that the caller submitted
 * @param acceptedAtMillis wall-clock time of its acceptance
 * @param record its progress
 */
public record StoredJob(
        String id,
        Optional<String> customer,
        QueueRules queueRules,
        JobSpec spec,
        long acceptedAtMillis,
        JobRecord record) {}
