package org.peridotcourse.daemon.log;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.daemon.ProcessEvent;
import org.peridotcourse.daemon.control.ConfigEvent;
import org.peridotcourse.daemon.dispatch.DispatchEvent;
import org.peridotcourse.daemon.entry.RequestEvent;
import org.peridotcourse.daemon.peer.PeerEvent;
import org.peridotcourse.daemon.placement.PlacementLogEvent;
import org.peridotcourse.daemon.platform.PlatformEvent;

/**
 * Lists all enums of events and generates docs/EVENTS.md. It holds no state and is thread-safe.
 *
 * <p>Add each new enum of events to {@link #ENUMS}.
 */
public final class EventCatalogue {
    /** All enums of events, in the order of their numbers. */
    public static final List<Class<? extends Event>> ENUMS =
            List.of(
                    RequestEvent.class,
                    PlacementLogEvent.class,
                    ConfigEvent.class,
                    PeerEvent.class,
                    PlatformEvent.class,
                    DispatchEvent.class,
                    ProcessEvent.class);

    private EventCatalogue() {}

    /**
     * Returns all events.
     *
     * @return the events in the order of their enums
     */
    public static List<Event> events() {
        List<Event> events = new ArrayList<>();
        ENUMS.forEach(type -> events.addAll(List.of(type.getEnumConstants())));
        return events;
    }

    /**
     * Returns the catalogue as a page.
     *
     * @return the content of docs/EVENTS.md
     */
    public static String toPage() {
        StringBuilder page = new StringBuilder();
        page.append("# Events\n\n");
        page.append("Each log line has the form `PC<number> <name> key=value ...`. ");
        page.append("The table is made from the code by\n`EventCatalogue.toPage()`; ");
        page.append("a test compares both.\n\n");
        page.append("| number | name | level | meaning |\n|---|---|---|---|\n");
        for (Event event : events()) {
            page.append("| PC").append(event.number());
            page.append(" | `").append(event.title());
            page.append("` | ").append(event.level());
            page.append(" | ").append(event.description()).append(" |\n");
        }
        return page.toString();
    }
}
