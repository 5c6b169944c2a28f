/** Operators' rows: schema, faults, acceptance, versions and the snapshot that is in force. */
package org.peridotcourse.config;
