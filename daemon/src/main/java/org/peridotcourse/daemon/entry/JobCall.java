package org.peridotcourse.daemon.entry;

/**
 * A complete call to {@code /jobs/<customer>/<job>}.
 *
 * <p>Instances are immutable and thread-safe as long as nobody writes to the body array.
 *
 * @param id the identifier that the response carries
 * @param method the HTTP method
 * @param path the undecoded path
 * @param body the body, empty for none
 */
record JobCall(String id, String method, String path, byte[] body) {}
