/**
 * Stand-ins for the platform, workers and backend servers, and a load client, for tests and trials
 * on one machine.
 */
package org.peridotcourse.standins;
