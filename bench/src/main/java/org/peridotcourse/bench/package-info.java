/** Measures what the roles of a daemon cost, with the real classes and small fakes. */
package org.peridotcourse.bench;
