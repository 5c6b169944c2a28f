package org.peridotcourse.testkit;

import java.nio.file.Path;
import org.junit.platform.engine.FilterResult;
import org.junit.platform.engine.TestDescriptor;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.PostDiscoveryFilter;

/**
 * Excludes exactly the tests that are listed in KNOWN-RED.txt and prints each of them.
 *
 * <p>The JUnit launcher loads this filter through the service loader, so it applies to every test
 * engine. Instances are immutable.
 */
public final class KnownRedFilter implements PostDiscoveryFilter {
    private static final String ROOT_PROPERTY = "peridotcourse.root";
    private static final String FILE = "KNOWN-RED.txt";

    private final KnownRed knownRed;

    /** Creates a filter for the list in the root directory of the build. */
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
                    "known red, excluded: " + source.getClassName() + "#" + source.getMethodName());
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
