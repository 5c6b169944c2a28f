package org.peridotcourse.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against invalid settings that are accepted, or whose faults are reported one at a time.
 */
class SettingsReaderTest {
    private static final Path ROOT = Path.of(System.getProperty("peridotcourse.root"));

    @Test
    void reportsEveryFaultAtOnceWithSectionKeyFoundAndAllowed() {
        String text =
                """
                [daemon]
                name = -bad
                region = altiplano
                stop-timeout = 30
                balancer-delay = 2m
                nmae = x
                [entry]
                address = localhost:80
                read-timeout = 5ms
                max-body = 2GiB
                max-head = 16KiB
                max-head = 17KiB
                ring-capacity = 10s
                [entrance]
                port = 1
                [admin]
                address = 127.0.0.1:65536
                [peer]
                address = 127.0.0.300:1
                seeds = 127.0.0.1:1, here
                [platform]
                address = 127.0.0.1:8000
                timeout = -1s
                """;
        SettingFaults faults =
                (SettingFaults) SettingsReader.parse("d.ini", text).failure().orElseThrow();
        List<String> places =
                faults.faults().stream()
                        .map(fault -> fault.section() + "." + fault.key())
                        .sorted()
                        .toList();
        assertEquals(
                List.of(
                        "admin.address",
                        "daemon.balancer-delay",
                        "daemon.data-centre",
                        "daemon.name",
                        "daemon.nmae",
                        "daemon.stop-timeout",
                        "entrance.-",
                        "entry.address",
                        "entry.max-body",
                        "entry.max-head",
                        "entry.read-timeout",
                        "entry.ring-capacity",
                        "peer.address",
                        "peer.seeds",
                        "platform.timeout"),
                places);
        assertTrue(
                faults.message()
                        .contains(
                                "d.ini: [entry] read-timeout: found '5ms'; allowed: a whole number"
                                        + " with the unit ms, s or min, 100ms to 60s"),
                faults.message());
    }

    @Test
    void readsTheExampleAndConvertsUnits() {
        Settings settings =
                SettingsReader.read(ROOT.resolve("config/peridotd.example.ini"))
                        .toOptional()
                        .orElseThrow();
        assertEquals(30_000, settings.millis(SettingKey.STOP_TIMEOUT));
        assertEquals(1 << 20, settings.number(SettingKey.MAX_BODY));
        assertEquals(2, settings.addresses(SettingKey.PEER_SEEDS).size());
        assertEquals(8080, settings.address(SettingKey.ENTRY_ADDRESS).getPort());
    }

    @Test
    void pageAndSchemaAreEqual() throws IOException {
        assertEquals(SettingsPage.text(), Files.readString(ROOT.resolve("docs/SETTINGS.md")));
    }

    @Test
    void defaultsAreAllowedValues() {
        for (SettingKey key : SettingKey.values()) {
            key.defaultText()
                    .ifPresent(text -> assertTrue(key.parse(text).isPresent(), key.name()));
        }
    }
}
