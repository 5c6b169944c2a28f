package org.peridotcourse.dispatch;

import org.peridotcourse.Resources;

/**
 * How the jobs of a customer share the workers.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the customer
 * @param weight its share relative to other customers when all workers are full, at least 1
 * @param limit what it may have running on all workers together; a part of 0 means no limit
 */
public record CustomerRules(String name, int weight, Resources limit) {
    /** Weight of a customer without rules. */
    public static final int USUAL_WEIGHT = 1;

    /** Rules of jobs that belong to no customer, or to one that the configuration dropped. */
    public static final CustomerRules UNLIMITED =
            new CustomerRules("", USUAL_WEIGHT, Resources.ZERO);
}
