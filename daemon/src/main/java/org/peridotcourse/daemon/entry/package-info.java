/** Callers' requests: HTTP server, router thread, request keys, jobs. */
package org.peridotcourse.daemon.entry;
