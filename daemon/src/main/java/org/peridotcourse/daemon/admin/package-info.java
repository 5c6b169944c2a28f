/** HTTP server for operators and monitoring. */
package org.peridotcourse.daemon.admin;
