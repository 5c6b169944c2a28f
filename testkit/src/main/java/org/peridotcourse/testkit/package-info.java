/** Support for running the project's tests. Not on the class path of any released program. */
package org.peridotcourse.testkit;
