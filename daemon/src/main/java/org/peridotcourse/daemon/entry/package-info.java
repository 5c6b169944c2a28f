/** Serves callers' requests: HTTP server, router thread, request keys and jobs. */
package org.peridotcourse.daemon.entry;
