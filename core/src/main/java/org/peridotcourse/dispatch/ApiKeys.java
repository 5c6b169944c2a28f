package org.peridotcourse.dispatch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Failure;
import org.peridotcourse.Result;

/**
 * The API keys of customers in one version of the configuration, kept as SHA-256 digests.
 *
 * <p>Instances are immutable and thread-safe. Their text form names no key and no digest.
 */
public final class ApiKeys {
    /** Calls need no key, because the configuration does not speak of customers. */
    public static final ApiKeys NOT_REQUIRED = new ApiKeys(false, List.of());

    private static final String DIGEST = "SHA-256";

    private final boolean required;
    private final List<Entry> entries;

    private ApiKeys(boolean required, List<Entry> entries) {
        this.required = required;
        this.entries = List.copyOf(entries);
    }

    /** A key that is in force. */
    private record Entry(byte[] digest, String customer) {}

    /** Tells why keys cannot be used. Constants are immutable and thread-safe. */
    public enum Fault implements Failure {
        /** A call with this key would belong to two customers. */
        SHARED("two customers have the same API key"),
        /** No call can carry an empty key. */
        EMPTY("an API key is empty");

        private final String message;

        Fault(String message) {
            this.message = message;
        }

        @Override
        public String code() {
            return "api-key-" + name().toLowerCase(Locale.ROOT);
        }

        @Override
        public String message() {
            return message;
        }
    }

    /**
     * Returns the keys of all customers. Every call then needs one of them, also if there is none.
     *
     * @param keysByCustomer the keys as callers send them, by the name of the customer
     * @return the keys, or why they cannot be used
     */
    public static Result<ApiKeys> of(Map<String, ? extends Iterable<String>> keysByCustomer) {
        List<Entry> entries = new ArrayList<>();
        for (Map.Entry<String, ? extends Iterable<String>> one : keysByCustomer.entrySet()) {
            for (String key : one.getValue()) {
                byte[] digest = digest(key);
                Optional<String> holder = find(entries, digest);
                if (key.isEmpty()) {
                    return Result.failed(Fault.EMPTY);
                } else if (holder.isEmpty()) {
                    entries.add(new Entry(digest, one.getKey()));
                } else if (!holder.get().equals(one.getKey())) {
                    return Result.failed(Fault.SHARED);
                }
            }
        }
        return Result.ok(new ApiKeys(true, entries));
    }

    /**
     * Tells whether calls need a key.
     *
     * @return false only for {@link #NOT_REQUIRED}
     */
    public boolean areRequired() {
        return required;
    }

    /**
     * Finds the customer that a key belongs to.
     *
     * @param key the key as a caller sent it
     * @return the name of the customer, or empty if the key is not in force
     */
    public Optional<String> customerOf(String key) {
        return find(entries, digest(key));
    }

    /** Compares with every entry, so that the time tells nothing about the keys in force. */
    private static Optional<String> find(List<Entry> entries, byte[] digest) {
        Optional<String> found = Optional.empty();
        for (Entry entry : entries) {
            if (MessageDigest.isEqual(entry.digest(), digest)) {
                found = Optional.of(entry.customer());
            }
        }
        return found;
    }

    private static byte[] digest(String key) {
        try {
            return MessageDigest.getInstance(DIGEST).digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new AssertionError("every Java platform has " + DIGEST, impossible);
        }
    }

    @Override
    public String toString() {
        return "ApiKeys[" + entries.size() + "]";
    }
}
