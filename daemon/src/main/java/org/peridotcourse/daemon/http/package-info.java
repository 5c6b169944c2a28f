/** HTTP client connections over Grizzly. */
package org.peridotcourse.daemon.http;
