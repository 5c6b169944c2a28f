package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The orders that were decided and not sent yet. Stops are sent first, then paces, then starts, so
 * that a burst of starts does not delay the others. Paces that exceed the {@link OrderWindow} wait;
 * a newer pace of the same run replaces one that waits. Confined to one thread.
 */
final class OrderQueue {
    /** Places that stops leave to waiting paces, since the stops of ended jobs may be hundreds. */
    private static final int PACE_PLACES = 8;

    private final OrderWindow window;
    private final List<Order> stops = new ArrayList<>();
    private final Map<Run.Key, Order> paces = new LinkedHashMap<>();
    private final List<Order> starts = new ArrayList<>();

    OrderQueue(OrderWindow window) {
        this.window = window;
    }

    void add(Order order) {
        if (order instanceof Order.Stop) {
            stops.add(order);
        } else if (order instanceof Order.Pace) {
            paces.put(new Run.Key(order.task(), order.attempt()), order);
        } else {
            starts.add(order);
        }
    }

    /** Returns how many more stops may be added for the next batch. */
    int availableForStops() {
        return Math.max(0, availablePlaces() - Math.min(PACE_PLACES, paces.size()));
    }

    private int availablePlaces() {
        return window.availableForChanges(starts.size()) - stops.size();
    }

    /** Returns how many more starts may be added for the next batch. */
    int availableForStarts() {
        return Math.max(0, window.availableForStarts() - starts.size() - stops.size());
    }

    /** Removes and returns the orders that are to be sent now, in this sequence. */
    List<Order> take(long now) {
        List<Order> taken = new ArrayList<>(stops);
        Iterator<Order> waitingPaces = paces.values().iterator();
        for (int i = availablePlaces(); i > 0 && waitingPaces.hasNext(); i--) {
            taken.add(waitingPaces.next());
            waitingPaces.remove();
        }
        taken.addAll(starts);
        stops.clear();
        starts.clear();
        taken.forEach(order -> window.onSent(order, now));
        return taken;
    }
}
