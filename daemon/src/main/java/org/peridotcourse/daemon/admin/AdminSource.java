package org.peridotcourse.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** What the admin server shows. Implementations are thread-safe and do not block. */
public interface AdminSource {
    /**
     * Tells whether the host may receive callers.
     *
     * @return false while stopping or without configuration
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
     * @param subject its id
     * @return the log lines, oldest first
     */
    List<String> explain(String subject);
}
