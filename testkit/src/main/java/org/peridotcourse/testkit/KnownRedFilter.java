package org.peridotcourse.testkit;

import java.nio.file.Path;
import org.junit.platform.engine.FilterResult;
import org.junit.platform.engine.TestDescriptor;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.PostDiscoveryFilter;

/**
 * Leaves out exactly the tests that KNOWN-RED.txt lists and prints each of them.
 *
 * <p>The JUnit launcher finds it by the service loader, so it holds for every test engine. It is
 * stateless after construction.
 */
public final class KnownRedFilter implements PostDiscoveryFilter {
    private static final String ROOT_PROPERTY = "peridotcourse.root";
    private static final String FILE = "KNOWN-RED.txt";

    private final KnownRed knownRed;

    /** Creates the filter for the list at the root of the build. */
    public KnownRedFilter() {
        this(KnownRed.read(Path.of(System.getProperty(ROOT_PROPERTY, "."), FILE)));
    }

    KnownRedFilter(KnownRed knownRed) {
        this.knownRed = knownRed;
    }

    @Override
    public FilterResult apply(TestDescriptor descriptor) {
        return descriptor
                .getSource()
                .filter(MethodSource.class::isInstance)
                .map(MethodSource.class::cast)
                .map(this::evaluateAndPrint)
                .orElseGet(() -> FilterResult.included("not a test method"));
    }

    private FilterResult evaluateAndPrint(MethodSource source) {
        FilterResult result = evaluate(source.getClassName(), source.getMethodName());
        if (result.excluded()) {
            System.out.println(
                    "known red, passed over: "
                            + source.getClassName()
                            + "#"
                            + source.getMethodName());
        }
        return result;
    }

    FilterResult evaluate(String className, String methodName) {
        if (!knownRed.isListed(className, methodName)) {
            return FilterResult.included("not listed in " + FILE);
        }
        return FilterResult.excluded("listed in " + FILE);
    }
}
