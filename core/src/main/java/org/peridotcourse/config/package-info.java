/**
 * The configuration that operators edit: schema of the rows, validation, acceptance, versions and
 * the snapshot in force.
 */
package org.peridotcourse.config;
