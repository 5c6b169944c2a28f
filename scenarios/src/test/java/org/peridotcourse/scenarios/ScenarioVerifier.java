package org.peridotcourse.scenarios;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.namer.NamerWrapper;
import org.peridotcourse.testkit.scenario.ScenarioRunner;

/** Runs one scenario file and compares its transcript with the golden file of the same name. */
final class ScenarioVerifier {
    private static final Path ROOT = Path.of(System.getProperty("peridotcourse.root", ".."));
    private static final Path RESOURCES = ROOT.resolve("scenarios/src/test/resources");

    private ScenarioVerifier() {}

    static void verify(String name, Path work) {
        try (ScenarioRunner runner =
                new ScenarioRunner(ROOT, RESOURCES.resolve("scenarios"), work)) {
            String transcript = runScenario(runner, name);
            Approvals.verify(transcript, goldenFile(name));
        }
    }

    private static String runScenario(ScenarioRunner runner, String name) {
        try {
            return runner.run(name + ".scenario");
        } catch (AssertionError | RuntimeException e) {
            System.out.println(runner.outputs());
            throw e;
        }
    }

    private static Options goldenFile(String name) {
        return new Options()
                .forFile()
                .withNamer(
                        new NamerWrapper(
                                () -> "golden/" + name, () -> RESOURCES.toAbsolutePath() + "/"));
    }
}
