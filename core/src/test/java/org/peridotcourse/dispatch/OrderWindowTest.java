package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards against orders that time out because an owner orders more than it can send. */
class OrderWindowTest {
    private static final WorkerInfo WORKER =
            new WorkerInfo(
                    "w1",
                    "service",
                    "w1:80",
                    "xela",
                    List.of(),
                    Resources.of(1_000, 1_000, 0),
                    false,
                    OptionalLong.empty(),
                    1);

    private final OrderWindow window = new OrderWindow();
    private final OrderQueue queue = new OrderQueue(window);
    private final List<Order> outstanding = new ArrayList<>();
    private int orderCount;

    private TaskRef nextTask() {
        return new TaskRef("00000000000000a1", 0, 0, orderCount++);
    }

    private Order start() {
        return new Order.Start(WORKER, nextTask(), 1, 1, "", 1_000, "", Optional.empty());
    }

    private Order stop() {
        return new Order.Stop(WORKER, nextTask(), 1, 1, StopReason.NOT_WANTED);
    }

    private Order pace(TaskRef task, int percent) {
        return new Order.Pace(WORKER, task, 1, 1, percent);
    }

    private void sendStarts(int count, long now) {
        for (int i = 0; i < count; i++) {
            queue.add(start());
        }
        outstanding.addAll(queue.take(now));
    }

    private void replyToAll(OrderReply reply, long now) {
        outstanding.forEach(order -> window.onReply(order, reply, now));
        outstanding.clear();
    }

    @Test
    void startsWithoutAReplyAreLimited() {
        sendStarts(OrderWindow.MIN_SIZE, 0);
        assertEquals(0, queue.availableForStarts());
    }

    @Test
    void quickRepliesEnlargeTheWindowUpToItsMaximum() {
        for (int i = 0; i < 20; i++) {
            sendStarts(queue.availableForStarts(), i * 100);
            replyToAll(OrderReply.ACCEPTED, i * 100 + 20);
        }
        assertEquals(OrderWindow.MAX_SIZE, window.size());
    }

    @Test
    void lateRepliesHalveTheWindowOnceForEachBurst() {
        quickRepliesEnlargeTheWindowUpToItsMaximum();
        sendStarts(OrderWindow.MAX_SIZE, 10_000);
        replyToAll(OrderReply.ACCEPTED, 10_000 + OrderWindow.LATE_REPLY_MILLIS + 1);
        assertEquals(OrderWindow.MAX_SIZE / 2, window.size());
    }

    @Test
    void ordersThatExpireHalveTheWindow() {
        quickRepliesEnlargeTheWindowUpToItsMaximum();
        sendStarts(1, 10_000);
        replyToAll(OrderReply.EXPIRED, 10_600);
        assertEquals(OrderWindow.MAX_SIZE / 2, window.size());
    }

    @Test
    void aSilentWorkerDoesNotReduceTheWindow() {
        sendStarts(10, 0);
        replyToAll(OrderReply.UNANSWERED, 600);
        assertEquals(OrderWindow.MIN_SIZE, window.size());
        assertEquals(OrderWindow.MIN_SIZE, queue.availableForStarts());
    }

    /** Guards against an owner that became slow after its window had grown. */
    @Test
    void ordersWithoutAnyPromptReplyHalveTheWindow() {
        quickRepliesEnlargeTheWindowUpToItsMaximum();
        sendStarts(OrderWindow.MAX_SIZE, 10_000);
        replyToAll(OrderReply.UNANSWERED, 10_600);
        assertEquals(OrderWindow.MAX_SIZE / 2, window.size());
    }

    /** Guards against a gang, which is started as a whole, that delays stops. */
    @Test
    void theReserveForStopsRemainsWhenStartsExceedTheWindow() {
        sendStarts(10 * OrderWindow.MAX_SIZE, 0);
        assertEquals(OrderWindow.RESERVE, queue.availableForStops());
    }

    @Test
    void ordersWhoseReplyIsLostAreNotCountedForEver() {
        sendStarts(OrderWindow.MIN_SIZE, 0);
        window.removeOld(10_000);
        assertEquals(OrderWindow.MIN_SIZE, queue.availableForStarts());
    }

    /** Guards against stops of cancelled jobs that wait behind the starts of other jobs. */
    @Test
    void stopsAreSentBeforeStartsAndWhileNoStartIsAvailable() {
        sendStarts(OrderWindow.MIN_SIZE, 0);
        assertEquals(OrderWindow.RESERVE, queue.availableForStops());
        Order start = start();
        Order stop = stop();
        queue.add(start);
        queue.add(stop);
        assertEquals(List.of(stop, start), queue.take(1));
    }

    @Test
    void aNewerPaceReplacesOneThatWaits() {
        TaskRef task = nextTask();
        for (int i = 0; i < OrderWindow.MIN_SIZE + OrderWindow.RESERVE; i++) {
            queue.add(stop());
        }
        queue.add(pace(task, 50));
        outstanding.addAll(queue.take(0));
        queue.add(pace(task, 10));
        replyToAll(OrderReply.ACCEPTED, 10);
        assertEquals(List.of(pace(task, 10)), queue.take(20));
    }

    /** Guards against filling tasks that are not slowed down while hundreds of stops are due. */
    @Test
    void stopsLeavePlacesForWaitingPaces() {
        TaskRef task = nextTask();
        queue.add(pace(task, 10));
        for (int i = queue.availableForStops(); i > 0; i--) {
            queue.add(stop());
        }
        assertTrue(queue.take(0).contains(pace(task, 10)));
    }
}
