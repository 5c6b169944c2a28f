/** Bounded event queues between threads, and the event loop that consumes one. */
package org.peridotcourse.daemon.ring;
