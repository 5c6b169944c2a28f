package org.peridotcourse.daemon.settings;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The validated values of a settings file, created by {@link SettingsReader}.
 *
 * <p>Each accessor may be called only with keys of the types that its documentation names.
 * Instances are immutable and thread-safe.
 */
public final class Settings {
    private final Map<SettingKey, Object> values;

    Settings(Map<SettingKey, Object> values) {
        this.values = new EnumMap<>(values);
    }

    /**
     * Returns an identifier.
     *
     * @param key a key of type {@code IDENTIFIER}
     * @return the text
     */
    public String text(SettingKey key) {
        return (String) values.get(key);
    }

    /**
     * Returns a duration.
     *
     * @param key a key of type {@code DURATION}
     * @return milliseconds
     */
    public long millis(SettingKey key) {
        return (Long) values.get(key);
    }

    /**
     * Returns a count or size.
     *
     * @param key a key of type {@code COUNT} or {@code SIZE}
     * @return the count, or the size in bytes
     */
    public int number(SettingKey key) {
        return Math.toIntExact((Long) values.get(key));
    }

    /**
     * Returns an address.
     *
     * @param key a key of type {@code ADDRESS}
     * @return the address
     */
    public InetSocketAddress address(SettingKey key) {
        return (InetSocketAddress) values.get(key);
    }

    /**
     * Returns a list of addresses.
     *
     * @param key a key of type {@code ADDRESS_LIST}
     * @return the addresses
     */
    public List<InetSocketAddress> addresses(SettingKey key) {
        return ((List<?>) values.get(key)).stream().map(InetSocketAddress.class::cast).toList();
    }
}
