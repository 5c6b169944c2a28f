package org.peridotcourse.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.ResourceBundle;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A logger that writes lines to a stream on its own thread. It is thread-safe.
 *
 * <p>It never blocks: lines are dropped while the queue to the thread is full. Each kind of line,
 * identified by its first word, also has a limit per second. A later line of the same kind reports
 * the number of dropped lines.
 */
public final class StdoutLogger implements System.Logger, AutoCloseable {
    private static final int QUEUE_CAPACITY = 8_192;
    private static final int MAX_LINES_PER_SECOND = 250;
    private static final long FLUSH_PERIOD_MILLIS = 100;
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private final PrintStream stream;
    private final MpscArrayQueue<String> lines = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final Map<String, LineBudget> budgets = new HashMap<>();
    private final Thread thread;
    private volatile boolean closed;

    /** The written and dropped lines of one kind within the current second. */
    private static final class LineBudget {
        long second;
        int used;
        int dropped;
    }

    private StdoutLogger(PrintStream stream) {
        this.stream = stream;
        this.thread = new Thread(this::run, "log");
        thread.setDaemon(true);
    }

    /**
     * Starts a logger.
     *
     * @param stream receives the lines
     * @return the logger
     */
    public static StdoutLogger start(PrintStream stream) {
        StdoutLogger logger = new StdoutLogger(stream);
        logger.thread.start();
        return logger;
    }

    @Override
    public String getName() {
        return "peridotcourse";
    }

    @Override
    public boolean isLoggable(Level level) {
        return level.getSeverity() >= Level.INFO.getSeverity();
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
        write(level, thrown == null ? message : message + " thrown=" + thrown);
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
        write(level, format);
    }

    private void write(Level level, String message) {
        if (!isLoggable(level)) {
            return;
        }
        long millis = System.currentTimeMillis();
        String kind = message.substring(0, Math.max(0, message.indexOf(' ')));
        String droppedReport = "";
        synchronized (budgets) {
            LineBudget budget = budgets.computeIfAbsent(kind, key -> new LineBudget());
            long second = TimeUnit.MILLISECONDS.toSeconds(millis);
            if (budget.second != second) {
                droppedReport =
                        budget.dropped == 0 ? "" : droppedLine(millis, kind, budget.dropped);
                budget.second = second;
                budget.used = 0;
                budget.dropped = 0;
            }
            if (budget.used >= MAX_LINES_PER_SECOND) {
                budget.dropped++;
                return;
            }
            budget.used++;
        }
        boolean queued = lines.offer(droppedReport + line(millis, level, message));
        if (!queued) {
            synchronized (budgets) {
                budgets.get(kind).dropped++;
            }
        }
    }

    private static String line(long millis, Level level, String message) {
        return Instant.ofEpochMilli(millis) + " " + level + " " + message + "\n";
    }

    private static String droppedLine(long millis, String kind, int count) {
        return line(millis, Level.WARNING, "PC6005 log.dropped event=" + kind + " count=" + count);
    }

    private void run() {
        while (!closed) {
            flush();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(FLUSH_PERIOD_MILLIS));
        }
        flush();
    }

    private void flush() {
        StringBuilder text = new StringBuilder();
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            text.append(line);
        }
        if (text.length() > 0) {
            byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
            stream.write(bytes, 0, bytes.length);
            stream.flush();
        }
    }

    /** Writes the queued lines and ends the thread, waiting for a limited time. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
