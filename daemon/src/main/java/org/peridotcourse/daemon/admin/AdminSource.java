package org.peridotcourse.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Provides the content of the admin server's pages. Implementations are thread-safe and do not
 * block.
 */
public interface AdminSource {
    /**
     * Tells whether the host may receive requests of callers.
     *
     * @return false while the daemon is stopping or has no configuration
     */
    boolean isReady();

    /**
     * Returns the metrics.
     *
     * @return Prometheus text format
     */
    String metrics();

    /**
     * Returns the state of the daemon.
     *
     * @return a JSON object
     */
    JsonNode status();

    /**
     * Returns the decisions about a request or task.
     *
     * @param subject the id of the request or task
     * @return the log lines, oldest first
     */
    List<String> explain(String subject);
}
