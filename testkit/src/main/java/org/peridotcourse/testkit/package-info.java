/** Support for running the project's tests. Never on the class path of a shipped process. */
package org.peridotcourse.testkit;
