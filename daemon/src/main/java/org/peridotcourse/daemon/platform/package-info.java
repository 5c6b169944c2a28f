/** Client of the platform: table service, object store, host list. */
package org.peridotcourse.daemon.platform;
