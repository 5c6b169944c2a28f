/** Thrift link between daemons. */
package org.peridotcourse.daemon.peer;
