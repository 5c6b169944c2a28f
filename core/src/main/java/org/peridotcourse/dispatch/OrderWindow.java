package org.peridotcourse.dispatch;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the orders that have no reply yet, so that an owner whose process is slow does not order
 * more than it can send before the orders time out.
 *
 * <p>The window grows by one with each reply that arrives soon, and is halved when replies are late
 * or orders expire before they are sent. Orders without any reply do not change it, since they may
 * be due to a silent worker. Stops and paces may exceed the window by a reserve, so that starts do
 * not delay them. Confined to one thread.
 */
final class OrderWindow {
    static final int MIN_SIZE = 16;

    static final int MAX_SIZE = 128;

    /** Orders by which stops and paces may exceed the window. */
    static final int RESERVE = 16;

    /** A reply after more than this time is late. Orders time out after 600 ms. */
    static final long LATE_REPLY_MILLIS = 200;

    /** The replies that are due to one burst of orders halve the window once. */
    private static final long SHRINK_INTERVAL_MILLIS = 300;

    /** Time after which an order is no longer counted; it exceeds the time-out of orders. */
    private static final long MAX_OUTSTANDING_MILLIS = 2_000;

    private final Map<Order, Long> sentAtByOrder = new IdentityHashMap<>();
    private int size = MIN_SIZE;
    private long shrunkAt = Long.MIN_VALUE / 2;

    /** Returns the number of orders without a reply that may be outstanding. */
    int size() {
        return size;
    }

    /** Returns how many starts may be ordered now. */
    int availableForStarts() {
        return Math.max(0, size - sentAtByOrder.size());
    }

    /** Returns how many stops and paces may be ordered now. */
    int availableForChanges() {
        return Math.max(0, size + RESERVE - sentAtByOrder.size());
    }

    void onSent(Order order, long now) {
        sentAtByOrder.put(order, now);
    }

    void onReply(Order order, OrderReply reply, long now) {
        Long sentAt = sentAtByOrder.remove(order);
        if (sentAt == null || reply == OrderReply.UNANSWERED) {
            return;
        }
        if (reply == OrderReply.EXPIRED || now - sentAt > LATE_REPLY_MILLIS) {
            shrink(now);
        } else {
            size = Math.min(MAX_SIZE, size + 1);
        }
    }

    private void shrink(long now) {
        if (now - shrunkAt >= SHRINK_INTERVAL_MILLIS) {
            shrunkAt = now;
            size = Math.max(MIN_SIZE, size / 2);
        }
    }

    /** Drops orders whose reply never came. */
    void removeOld(long now) {
        sentAtByOrder.values().removeIf(sentAt -> now - sentAt > MAX_OUTSTANDING_MILLIS);
    }
}
