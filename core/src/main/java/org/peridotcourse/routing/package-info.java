/**
 * Decides which backend server runs a request and when: admission, fair queue, choice of backend
 * server, connection health, retry budget, request keys and outcomes.
 */
package org.peridotcourse.routing;
