/**
 * Decides which backend server runs a request and when: admission control, fair queueing, selection
 * of the backend server, failure detection, retry budget, request keys and outcomes.
 */
package org.peridotcourse.routing;
