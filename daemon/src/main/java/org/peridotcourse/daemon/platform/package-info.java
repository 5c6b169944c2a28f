/** Clients of the platform: table service, object store and host list. */
package org.peridotcourse.daemon.platform;
