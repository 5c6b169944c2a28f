package org.peridotcourse.standins;

/**
 * The capacity limits of a backend server. Instances are immutable.
 *
 * @param name the name of the server
 * @param slots the maximum number of lookups and plans that run concurrently
 * @param queueCapacity the maximum number of requests that wait for a slot
 * @param maxConnections the maximum number of connections
 * @param watchEventMillis the interval between two events of a watch
 */
record BackendLimits(
        String name, int slots, int queueCapacity, int maxConnections, long watchEventMillis) {}
