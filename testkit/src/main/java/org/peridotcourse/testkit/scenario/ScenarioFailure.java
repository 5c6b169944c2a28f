package org.peridotcourse.testkit.scenario;

/**
 * Reports a scenario step that is malformed or whose expectation was not met. Instances are
 * immutable.
 */
public final class ScenarioFailure extends AssertionError {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param step the step
     * @param actual what was found instead
     */
    public ScenarioFailure(Step step, String actual) {
        super("line " + step.line() + ": " + step.text() + "\n    found: " + actual);
    }
}
