package org.peridotcourse.dispatch;

import org.peridotcourse.Resources;

/**
 * The weight and the resource limit of a customer.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the customer
 * @param weight its share of the workers relative to other customers when capacity is scarce, and
 *     the number of jobs per second that it may submit before its jobs rank lower; at least 1
 * @param limit the resources that its runs may use on all workers together; a resource of 0 has no
 *     limit
 */
public record CustomerRules(String name, int weight, Resources limit) {
    /** Weight of a customer that the configuration does not contain. */
    public static final int DEFAULT_WEIGHT = 1;

    /** Rules for jobs without a customer, or whose customer was removed from the configuration. */
    public static final CustomerRules UNLIMITED =
            new CustomerRules("", DEFAULT_WEIGHT, Resources.ZERO);
}
