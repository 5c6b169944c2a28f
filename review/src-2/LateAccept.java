import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Submissions are handed in while the store gives no response; their requesters get no acceptance,
 * cancel them, and are told that there are no such submissions. With TROUBLE=0 the store responds.
 */
final class LateAccept extends Trial2 {
    private static final int SUBMISSIONS = 6;
    private static final long SILENT_MILLIS = 3_000;
    private static final long LATE_MILLIS = 6_000;
    private static final long FIRST_POST_MILLIS = 700;
    private static final long POST_INTERVAL_MILLIS = 80;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long WATCH_MILLIS = 12_000;

    /** By submission, the second of its first start on a runner. */
    private final Map<String, Double> firstStart = new ConcurrentHashMap<>();

    private LateAccept(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String... arguments) {
        execute(LateAccept::new, arguments[0]);
    }

    @Override
    void onRunner(String runner, String event) {
        super.onRunner(runner, event);
        if (event.startsWith("start ")) {
            firstStart.putIfAbsent(event.substring(6, event.indexOf('.')), seconds());
        }
    }

    /** One requester: hands a submission in, and cancels it. */
    private final class Requester extends Thread {
        final String id;
        final Host2 first;
        final Host2 second;
        String posted = "";
        String cancelled = "";
        double cancelledAt;

        Requester(int number) {
            id = String.format("00000000000e%04x", number);
            first = hosts.get(number % hosts.size());
            second = hosts.get((number + 1) % hosts.size());
        }

        @Override
        public void run() {
            try {
                posted = submit(first, id, submission("1500/500", false, new int[] {1, 500, 1_500}));
                for (int i = 0; i < 20 && !isAcknowledged(); i++) {
                    cancelled = client.call(second.frontend, "DELETE", id, "");
                    cancelledAt = seconds();
                    log("DELETE " + id + " to " + second.name + ": " + cancelled);
                    Thread.sleep(isAcknowledged() ? 0 : 300);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isAcknowledged() {
            return cancelled.startsWith("200") || cancelled.startsWith("410");
        }
    }

    @Override
    int run() throws Exception {
        startDeployment(3, 4, 16_000);
        Thread.sleep(6_000);
        store.onLate = text -> log("store: performed late: " + text);
        if (trouble) {
            log("store: no response for " + SILENT_MILLIS + " ms");
            store.beSilent(SILENT_MILLIS, LATE_MILLIS);
        }
        Thread.sleep(FIRST_POST_MILLIS);
        List<Requester> requesters = new ArrayList<>();
        for (int i = 0; i < SUBMISSIONS; i++) {
            Requester requester = new Requester(i);
            requesters.add(requester);
            requester.start();
            Thread.sleep(POST_INTERVAL_MILLIS);
        }
        for (Requester requester : requesters) {
            requester.join();
        }
        Thread.sleep(WATCH_MILLIS);
        return judge(requesters);
    }

    private int judge(List<Requester> requesters) {
        int unasked = 0;
        for (Requester requester : requesters) {
            Double start = firstStart.get(requester.id);
            boolean late =
                    requester.isAcknowledged()
                            && start != null
                            && start > requester.cancelledAt + CANCEL_MILLIS / 1e3;
            unasked += late ? 1 : 0;
            log(
                    requester.id
                            + ": handed in: "
                            + requester.posted
                            + "; cancelled: "
                            + requester.cancelled
                            + (start == null
                                    ? "; never started"
                                    : String.format(
                                            "; started %.3f s after that",
                                            start - requester.cancelledAt)));
        }
        log(unasked + " submissions were started later than cancel_ms after the ack");
        return unasked > 0 ? BROKEN : HELD;
    }
}
