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
 * A logger that writes lines to a stream on a thread of its own. It is thread-safe.
 *
 * <p>It never blocks: while the stream is behind, lines are left out. Each kind of line, told by
 * its first word, has a budget a second. The number of lines left out is written instead.
 */
public final class StdoutLogger implements System.Logger, AutoCloseable {
    private static final int CAPACITY = 8_192;
    private static final int LINES_PER_SECOND = 250;
    private static final long PERIOD_MILLIS = 100;
    private static final long CLOSE_MILLIS = 300;

    private final PrintStream stream;
    private final MpscArrayQueue<String> lines = new MpscArrayQueue<>(CAPACITY);
    private final Map<String, Budget> budgets = new HashMap<>();
    private final Thread thread;
    private volatile boolean closed;

    /** Lines of one kind within the present second. */
    private static final class Budget {
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
     * @param stream where lines go
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
        String dropped = "";
        synchronized (budgets) {
            Budget budget = budgets.computeIfAbsent(kind, key -> new Budget());
            long second = TimeUnit.MILLISECONDS.toSeconds(millis);
            if (budget.second != second) {
                dropped = budget.dropped == 0 ? "" : droppedLine(millis, kind, budget.dropped);
                budget.second = second;
                budget.used = 0;
                budget.dropped = 0;
            }
            if (budget.used >= LINES_PER_SECOND) {
                budget.dropped++;
                return;
            }
            budget.used++;
        }
        boolean taken = lines.offer(dropped + line(millis, level, message));
        if (!taken) {
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
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS));
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

    /** Writes what is left and ends. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(CLOSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
