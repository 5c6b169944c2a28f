/** Thrift client and server for messages between daemons. */
package org.peridotcourse.daemon.peer;
