/** HTTP client connections over Grizzly, and the daemon's HTTP servers. */
package org.peridotcourse.daemon.http;
