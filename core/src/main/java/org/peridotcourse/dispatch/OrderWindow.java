package org.peridotcourse.dispatch;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the orders that have no reply yet, so that an owner whose process is slow does not order
 * more than it can send before the orders time out.
 *
 * <p>The window grows by one with each reply that arrives soon. It is halved when replies are late,
 * when orders expire before they are sent, and when more orders end without a reply than with a
 * prompt one; fewer may be due to silent workers. Stops and paces have a reserve beside the window,
 * so that starts do not delay them. Confined to one thread.
 */
final class OrderWindow {
    static final int MIN_SIZE = 16;

    static final int MAX_SIZE = 128;

    /** Stops and paces that may be outstanding however many starts are. */
    static final int RESERVE = 16;

    /** A reply after more than this time is late. Orders time out after 600 ms. */
    static final long LATE_REPLY_MILLIS = 200;

    /** The replies that are due to one burst of orders halve the window once. */
    private static final long SHRINK_INTERVAL_MILLIS = 300;

    /** Time over which prompt and missing replies are compared; the time-out of orders. */
    private static final long COUNT_INTERVAL_MILLIS = 600;

    /** Missing replies up to this number may be those of one silent worker. */
    private static final int MIN_MISSING_REPLIES = 8;

    /** Time after which an order is no longer counted; it exceeds the time-out of orders. */
    private static final long MAX_OUTSTANDING_MILLIS = 2_000;

    private final Map<Order, Long> sentAtByOrder = new IdentityHashMap<>();
    private int size = MIN_SIZE;
    private int outstandingChanges;
    private long shrunkAt = Long.MIN_VALUE / 2;

    /** Prompt replies since {@link #countedSince}. */
    private int promptReplies;

    /** Orders that ended without a reply since then. */
    private int missingReplies;

    private long countedSince = Long.MIN_VALUE / 2;

    /** Returns the number of orders without a reply that may be outstanding. */
    int size() {
        return size;
    }

    /** Returns the number of orders without a reply. */
    int outstanding() {
        return sentAtByOrder.size();
    }

    /** Returns how many starts may be ordered now. */
    int availableForStarts() {
        return Math.max(0, size - sentAtByOrder.size());
    }

    /**
     * Returns how many stops and paces may be ordered now.
     *
     * @param queuedStarts starts that are about to be sent
     */
    int availableForChanges(int queuedStarts) {
        int besideStarts = size - sentAtByOrder.size() - queuedStarts;
        return Math.max(0, RESERVE + Math.max(besideStarts, -outstandingChanges));
    }

    void onSent(Order order, long now) {
        sentAtByOrder.put(order, now);
        outstandingChanges += isChange(order) ? 1 : 0;
    }

    private static boolean isChange(Order order) {
        return !(order instanceof Order.Start);
    }

    void onReply(Order order, OrderReply reply, long now) {
        Long sentAt = sentAtByOrder.remove(order);
        if (sentAt == null) {
            return;
        }
        outstandingChanges -= isChange(order) ? 1 : 0;
        if (reply == OrderReply.UNANSWERED) {
            countReply(false, now);
        } else if (reply == OrderReply.EXPIRED || now - sentAt > LATE_REPLY_MILLIS) {
            shrink(now);
        } else {
            countReply(true, now);
            size = Math.min(MAX_SIZE, size + 1);
        }
    }

    private void countReply(boolean prompt, long now) {
        if (now - countedSince >= COUNT_INTERVAL_MILLIS) {
            countedSince = now;
            promptReplies = 0;
            missingReplies = 0;
        }
        promptReplies += prompt ? 1 : 0;
        missingReplies += prompt ? 0 : 1;
        if (missingReplies >= MIN_MISSING_REPLIES && missingReplies > promptReplies) {
            shrink(now);
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
        outstandingChanges =
                (int) sentAtByOrder.keySet().stream().filter(OrderWindow::isChange).count();
    }
}
