package org.peridotcourse.testkit.scenario;

/**
 * Thrown if a scenario step is malformed or if its conditions are not met. Instances are immutable.
 */
public final class ScenarioFailure extends AssertionError {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param step the step that failed
     * @param actual the actual result, or why the step is malformed
     */
    public ScenarioFailure(Step step, String actual) {
        super("line " + step.line() + ": " + step.text() + "\n    found: " + actual);
    }
}
