package org.peridotcourse.standins;

/**
 * The size of a backend server. Instances are immutable.
 *
 * @param name the name of the server
 * @param slots the number of lookups and plans that run at a time
 * @param queueCapacity the number of requests that wait for a slot
 * @param maxConnections the largest number of connections
 * @param watchEventMillis the time between two events of a watch
 */
record BackendLimits(
        String name, int slots, int queueCapacity, int maxConnections, long watchEventMillis) {}
