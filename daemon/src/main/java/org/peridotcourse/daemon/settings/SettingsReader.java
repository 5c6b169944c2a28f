package org.peridotcourse.daemon.settings;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;
import org.peridotcourse.Result;

/**
 * Reads a settings file and reports all its faults together.
 *
 * <p>An instance serves one read and is not thread-safe; the static methods are.
 */
public final class SettingsReader {
    private final String file;
    private final List<SettingFault> faults = new ArrayList<>();

    private SettingsReader(String file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return the settings, or {@link SettingFaults}
     */
    public static Result<Settings> read(Path path) {
        try {
            return parse(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Result.failed(
                    new SettingFaults(
                            List.of(
                                    new SettingFault(
                                            path.toString(),
                                            "-",
                                            "-",
                                            "an unreadable file (" + e + ")",
                                            "a file in UTF-8"))));
        }
    }

    /**
     * Reads the text of a file.
     *
     * @param file the name of the file, which the faults contain
     * @param text its text
     * @return the settings, or {@link SettingFaults}
     */
    public static Result<Settings> parse(String file, String text) {
        SettingsReader reader = new SettingsReader(file);
        Optional<Ini> ini = reader.load(text);
        Map<SettingKey, Object> values = new EnumMap<>(SettingKey.class);
        if (ini.isPresent()) {
            reader.checkNames(ini.get());
            for (SettingKey key : SettingKey.values()) {
                reader.value(ini.get(), key).ifPresent(value -> values.put(key, value));
            }
        }
        return reader.faults.isEmpty()
                ? Result.ok(new Settings(values))
                : Result.failed(new SettingFaults(reader.faults));
    }

    private Optional<Ini> load(String text) {
        Config config = new Config();
        config.setEscape(false);
        config.setEmptyOption(true);
        config.setMultiOption(true);
        config.setMultiSection(true);
        Ini ini = new Ini();
        ini.setConfig(config);
        try (Reader reader = new StringReader(text)) {
            ini.load(reader);
            return Optional.of(ini);
        } catch (IOException e) {
            add("-", "-", e.getMessage(), "[section] and key = value lines");
            return Optional.empty();
        }
    }

    private void checkNames(Ini ini) {
        for (String name : ini.keySet()) {
            List<SettingKey> sectionKeys =
                    Arrays.stream(SettingKey.values())
                            .filter(key -> key.section().equals(name))
                            .toList();
            if (sectionKeys.isEmpty()) {
                add(name, "-", "an unknown section", sections());
                continue;
            }
            if (ini.length(name) > 1) {
                add(name, "-", "the section " + ini.length(name) + " times", "once");
            }
            String keys =
                    sectionKeys.stream().map(SettingKey::key).collect(Collectors.joining(", "));
            for (Profile.Section section : ini.getAll(name)) {
                for (String key : section.keySet()) {
                    if (sectionKeys.stream().noneMatch(candidate -> candidate.key().equals(key))) {
                        add(name, key, "an unknown key", keys);
                    } else if (section.length(key) > 1) {
                        add(name, key, "the key " + section.length(key) + " times", "once");
                    }
                }
            }
        }
    }

    private Optional<Object> value(Ini ini, SettingKey key) {
        Optional<String> text = Optional.ofNullable(ini.get(key.section(), key.key()));
        text = text.map(String::trim).or(key::defaultText);
        if (text.isEmpty()) {
            add(key.section(), key.key(), "nothing", key.allowed());
            return Optional.empty();
        }
        Optional<Object> value = key.parse(text.get());
        if (value.isEmpty()) {
            add(key.section(), key.key(), "'" + text.get() + "'", key.allowed());
        }
        return value;
    }

    private void add(String section, String key, String found, String allowed) {
        faults.add(new SettingFault(file, section, key, found, allowed));
    }

    private static String sections() {
        return Arrays.stream(SettingKey.values())
                .map(SettingKey::section)
                .distinct()
                .collect(Collectors.joining(", "));
    }
}
