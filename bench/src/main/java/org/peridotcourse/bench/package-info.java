/** Measures the cost of the roles of a daemon, using the production classes and small fakes. */
package org.peridotcourse.bench;
