package org.peridotcourse.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against log events that are missing from the catalogue or share a number or name. */
class EventCatalogueTest {
    private static final Path ROOT = Path.of(System.getProperty("peridotcourse.root"));

    @Test
    void pageAndCodeAreEqual() throws IOException {
        assertEquals(EventCatalogue.toPage(), Files.readString(ROOT.resolve("docs/EVENTS.md")));
    }

    @Test
    void numbersAndNamesAreUnique() {
        Set<Object> seen = new HashSet<>();
        for (Event event : EventCatalogue.events()) {
            assertTrue(seen.add(event.number()), "number " + event.number());
            assertTrue(seen.add(event.title()), "name " + event.title());
        }
    }

    @Test
    void everyEnumOfEventsIsListed() throws IOException {
        Path sources = ROOT.resolve("daemon/src/main/java");
        try (Stream<Path> files = Files.walk(sources)) {
            List<Path> enums =
                    files.filter(file -> file.toString().endsWith("Event.java"))
                            .filter(EventCatalogueTest::isEnum)
                            .toList();
            assertEquals(EventCatalogue.ENUMS.size(), enums.size(), enums.toString());
        }
    }

    private static boolean isEnum(Path file) {
        try {
            return Files.readString(file).contains("implements Event {");
        } catch (IOException unreadable) {
            return true;
        }
    }
}
