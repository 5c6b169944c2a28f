package org.peridotcourse.daemon.platform;

import java.util.Optional;
import org.peridotcourse.Result;

/**
 * The platform's object store. Objects are written once under a name that is never reused, so every
 * call may be repeated after a failure.
 *
 * <p>Calls block for at most the configured time-out. Implementations are thread-safe.
 */
public interface ObjectStore {
    /**
     * Reads an object.
     *
     * @param name the name, one to several parts joined by slashes
     * @return the content, empty if there is no such object, or a {@link StoreFailure}
     */
    Result<Optional<byte[]>> read(String name);

    /**
     * Writes an object.
     *
     * @param name the name
     * @param content the content
     * @return the number of bytes written, or a {@link StoreFailure}; after a failure the object
     *     may exist
     */
    Result<Integer> write(String name, byte[] content);

    /**
     * Removes an object.
     *
     * @param name the name
     * @return true if the object existed, or a {@link StoreFailure}
     */
    Result<Boolean> remove(String name);
}
