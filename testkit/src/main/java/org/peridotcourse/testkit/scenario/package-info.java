/**
 * The scenario language: text files that start processes, send requests, inject faults and check
 * the results. {@link org.peridotcourse.testkit.scenario.ScenarioRunner} runs them.
 */
package org.peridotcourse.testkit.scenario;
