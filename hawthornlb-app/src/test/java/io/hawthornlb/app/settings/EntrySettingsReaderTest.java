package io.hawthornlb.app.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.InstanceId;
import io.vavr.control.Validation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EntrySettingsReaderTest {

  private static final String HASH = KeyHashes.hash("operator");

  private static final String MINIMAL =
      """
      instance: {id: entry-1, dataCentre: ghala}
      http: {address: 127.0.0.1:8080}
      peers:
        address: 127.0.0.1:8181
        tls: {mode: plain}
      platform: {address: 127.0.0.1:9000}
      """;

  private final EntrySettingsReader reader = new EntrySettingsReader();

  private List<String> findings(String yaml) {
    Validation<List<Finding>, EntrySettings> result = reader.read(Path.of("e.yaml"), yaml);
    return result.getError().stream().map(Finding::text).toList();
  }

  @Test
  void fillsInDefaults() {
    EntrySettings settings = reader.read(Path.of("e.yaml"), MINIMAL).get();

    assertEquals(
        new InstanceSettings(new InstanceId("entry-1"), new DataCentre("ghala")),
        settings.instance());
    assertEquals(16 << 20, settings.http().bodyLimit());
    assertEquals(ClaimSettings.DEFAULT, settings.claims());
    assertEquals(LogLevel.INFO, settings.logLevel());
    assertEquals("http://127.0.0.1:9000", settings.platform().uri().toString());
    assertEquals(List.of(), settings.operatorKeyHashes());
  }

  @Test
  void readsEveryKey(@TempDir Path folder) throws IOException {
    for (String name : List.of("cert.pem", "key.pem", "trust.pem")) {
      Files.writeString(folder.resolve(name), "x");
    }
    Path file = folder.resolve("entry.yaml");
    Files.writeString(
        file,
        """
        instance: {id: entry-1, dataCentre: ghala}
        http: {address: 10.0.0.7:8080, bodyLimit: 2MiB}
        peers:
          address: 10.0.0.7:8181
          probe: 1s
          silence: 3s
          frameLimit: 1MiB
          known: [{id: entry-2, dataCentre: ruwi, address: "[::1]:8181"}]
          tls: {mode: mutual, certificate: cert.pem, key: key.pem, trust: trust.pem, reload: 5s}
        platform: {address: 10.0.0.1:9000, timeout: 900ms}
        claims: {partitions: 16, renew: 1s, silence: 4s}
        limits: {requests: 50, drain: 10s}
        operator: {keyHashes: [%s]}
        log: {level: debug}
        """
            .formatted(HASH));

    EntrySettings settings = reader.read(file).get();

    assertEquals(folder.resolve("cert.pem"), settings.peers().tls().certificate().orElseThrow());
    assertEquals(Duration.ofSeconds(5), settings.peers().tls().reload());
    assertEquals(folder.resolve("key.pem"), settings.peers().tls().files().orElseThrow().key());
    assertEquals(Duration.ofSeconds(3), settings.peers().options().silence());
    assertEquals(1 << 20, settings.peers().options().frameLimit());
    assertEquals("[::1]:8181", settings.peers().known().get(0).toListedProcess().address());
    assertEquals(
        new ClaimSettings(16, Duration.ofSeconds(1), Duration.ofSeconds(4)), settings.claims());
    assertEquals(new LimitSettings(50, Duration.ofSeconds(10)), settings.limits());
    assertEquals(List.of(HASH), settings.operatorKeyHashes());
    assertEquals(LogLevel.DEBUG, settings.logLevel());
  }

  // Guards against an open peer port: if an operator copies the settings of a test machine to
  // production and forgets TLS, peers accept messages from anyone in the network. The reader and
  // the builder must both reject such settings, so that the instance does not start.
  @Test
  void rejectsPeersWithoutTlsBeyondLoopback() {
    assertEquals(
        List.of(
            "e.yaml:5: peers.tls.mode: plain is allowed on a loopback address only; use mutual"),
        findings(MINIMAL.replace("address: 127.0.0.1:8181", "address: 10.0.0.7:8181")));
    EntrySettings settings = reader.read(Path.of("e.yaml"), MINIMAL).get();
    PeerSettings peersWithoutTls =
        new PeerSettings(
            new NetworkAddress("10.0.0.7", 1),
            TlsSettings.PLAIN,
            PeerSettings.DEFAULT_PROBE,
            PeerSettings.DEFAULT_SILENCE,
            1,
            List.of());
    EntrySettings.Builder builder =
        EntrySettings.builder(
            settings.instance(), settings.http(), peersWithoutTls, settings.platform());
    assertThrows(IllegalArgumentException.class, builder::build);
  }

  @Test
  void reportsAllFaultsAtOnce() {
    String yaml =
        """
        instance: {id: Entry 1}
        http: {address: localhost:80, bodyLimit: 64}
        peers:
          address: 127.0.0.1:8181
          silence: 700ms
          tls: {mode: mutual, certificate: none.pem}
        claims: {renew: 5s, silence: 5s}
        operator: {keyHashes: [secret]}
        services: {}
        """;

    assertEquals(
        List.of(
            "e.yaml:1: instance.dataCentre: missing",
            "e.yaml:1: instance.id: " + SettingValues.NAME_EXPECTED,
            "e.yaml:1: platform.address: missing",
            "e.yaml:2: http.address: " + NetworkAddress.EXPECTED,
            "e.yaml:2: http.bodyLimit: expected a size below 2GiB with its unit, such as 512B,"
                + " 64KiB or 4MiB, found 64",
            "e.yaml:5: peers.silence: silence must be at least twice probe, so that one probe may"
                + " be late",
            "e.yaml:6: peers.tls.key: missing",
            "e.yaml:6: peers.tls.trust: missing",
            "e.yaml:6: peers.tls.certificate: cannot read the file none.pem",
            "e.yaml:7: claims.silence: silence must be at least twice renew, so that one renewal"
                + " may be lost",
            "e.yaml:8: operator.keyHashes: expected SHA-256 in lower-case hexadecimal (64 digits)",
            "e.yaml:9: services: unknown key; known here: instance, http, peers, platform, claims,"
                + " limits, operator, log"),
        findings(yaml));
  }

  @Test
  void reportsMissingKeysOfMissingSections() {
    assertEquals(
        List.of(
            "e.yaml:1: instance.id: missing",
            "e.yaml:1: instance.dataCentre: missing",
            "e.yaml:1: http.address: missing",
            "e.yaml:1: peers.address: missing",
            "e.yaml:1: peers.tls.mode: missing",
            "e.yaml:1: platform.address: missing"),
        findings("log: {level: info}"));
  }

  @Test
  void reportsContradictorySettings() {
    assertEquals(
        List.of(
            "e.yaml:4: peers.address: the same as http.address; give peers a port of their own"),
        findings(MINIMAL.replace("8181", "8080")));
    assertEquals(
        List.of("e.yaml:5: peers.tls.key: contradicts mode plain; remove one of them"),
        findings(MINIMAL.replace("{mode: plain}", "{mode: plain, key: /dev/null}")));
  }

  @Test
  void reportsFilesThatCannotBeRead() {
    assertTrue(reader.read(Path.of("no/such.yaml")).getError().get(0).text().contains("no such"));
  }
}
