package org.peridotcourse.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Start-time fair queue: one FIFO per flow, served in proportion to the weights of the flows that
 * have items. Confined to one thread.
 *
 * <p>The start tag of a flow advances by the reciprocal of its weight when one of its items is
 * polled, so an idle flow gains no credit and the removal of an item is not charged to its flow.
 *
 * @param <K> type of the keys of flows
 * @param <T> type of the items
 */
final class FairQueue<K extends Comparable<K>, T> {
    private final Map<K, Flow<K, T>> flows = new HashMap<>();
    private final TreeSet<Flow<K, T>> waitingFlows = new TreeSet<>(Flow::compare);
    private double virtualTime;
    private int size;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the number of items of a flow. */
    int sizeOf(K key) {
        Flow<K, T> flow = flows.get(key);
        return flow == null ? 0 : flow.items.size();
    }

    /** Returns the sum of the weights of the waiting flows, including the given flow. */
    double totalWeightWith(K key, int weight) {
        double total = weight;
        for (Flow<K, T> flow : waitingFlows) {
            total += flow.key.equals(key) ? 0 : flow.weight;
        }
        return total;
    }

    /** Appends an item to its flow. */
    void add(K key, int weight, T item) {
        prepareFlow(key, weight).items.addLast(item);
    }

    /** Puts an item before all others of its flow. */
    void addFirst(K key, int weight, T item) {
        prepareFlow(key, weight).items.addFirst(item);
    }

    private Flow<K, T> prepareFlow(K key, int weight) {
        Flow<K, T> flow = flows.computeIfAbsent(key, Flow::new);
        flow.weight = weight;
        if (flow.items.isEmpty()) {
            flow.startTag = Math.max(virtualTime, flow.startTag);
            waitingFlows.add(flow);
        }
        size++;
        return flow;
    }

    /**
     * Removes and returns the next item that passes the test. Only the first item of each flow is
     * tested.
     */
    Optional<T> poll(Predicate<T> test) {
        for (Flow<K, T> flow : waitingFlows) {
            T item = flow.items.peekFirst();
            if (test.test(item)) {
                waitingFlows.remove(flow);
                flow.items.removeFirst();
                size--;
                virtualTime = Math.max(virtualTime, flow.startTag);
                flow.startTag += 1.0 / flow.weight;
                if (!flow.items.isEmpty()) {
                    waitingFlows.add(flow);
                }
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    /** Removes an item without charging it to its flow. */
    void remove(K key, T item) {
        Flow<K, T> flow = flows.get(key);
        if (flow != null && flow.items.remove(item)) {
            size--;
            if (flow.items.isEmpty()) {
                waitingFlows.remove(flow);
            }
        }
    }

    /** Returns the first item of each flow, in the order of service. */
    List<T> heads() {
        List<T> heads = new ArrayList<>();
        waitingFlows.forEach(flow -> heads.add(flow.items.peekFirst()));
        return heads;
    }

    /** Returns all items. */
    List<T> items() {
        List<T> items = new ArrayList<>();
        waitingFlows.forEach(flow -> items.addAll(flow.items));
        return items;
    }

    /** Items with the same key. */
    private static final class Flow<K extends Comparable<K>, T> {
        private final K key;
        private final Deque<T> items = new ArrayDeque<>();
        private int weight = 1;
        private double startTag;

        Flow(K key) {
            this.key = key;
        }

        int compare(Flow<K, T> other) {
            int byStart = Double.compare(startTag, other.startTag);
            return byStart != 0 ? byStart : key.compareTo(other.key);
        }
    }
}
