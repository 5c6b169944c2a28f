/** The command-line tool {@code peridotctl}; docs/CLI.md is its documentation. */
package org.peridotcourse.ctl;
