package io.hawthornlb.app.settings;

import io.hawthornlb.core.config.ConfigReader;
import io.hawthornlb.core.config.ConfigSection;
import io.hawthornlb.core.config.support.YamlConfigReader;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.InstanceId;
import io.vavr.control.Validation;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reads and validates the settings of an entry instance.
 *
 * <p>Relative paths in the settings are resolved against the folder of the settings file.
 */
public final class EntrySettingsReader {

  private static final int MAX_PARTITIONS = 4_096;
  private static final int MAX_REQUESTS = 1_000_000;
  private static final int MIN_RENEWALS_PER_SILENCE = 2;

  private final ConfigReader reader = new YamlConfigReader();

  /** Returns the settings in a file, or all faults of the file. */
  public Validation<List<Finding>, EntrySettings> read(Path file) {
    return TextFiles.read(file).flatMap(content -> read(file, content));
  }

  /** Returns the settings in a text, or all its faults, as if the text were read from a file. */
  public Validation<List<Finding>, EntrySettings> read(Path file, String content) {
    PeerSettingsBinding peers = new PeerSettingsBinding(file);
    return reader.read(file.toString(), content, root -> bind(root, peers));
  }

  private Supplier<EntrySettings> bind(ConfigSection root, PeerSettingsBinding peerBinding) {
    Supplier<InstanceSettings> instance = instance(root.section("instance"));
    ConfigSection httpSection = root.section("http");
    ConfigSection peerSection = root.section("peers");
    Supplier<HttpSettings> http = http(httpSection);
    Supplier<PeerSettings> peers = peerBinding.bind(peerSection);
    checkPortsDiffer(httpSection, peerSection);
    Supplier<PlatformSettings> platform = platform(root.section("platform"));
    ClaimSettings claims = claims(root.section("claims"));
    LimitSettings limits = limits(root.section("limits"));
    List<String> keyHashes = KeyHashes.read(root.section("operator"), "keyHashes");
    Optional<LogLevel> level = root.section("log").choice("level", LogLevel.class);
    return () ->
        EntrySettings.builder(instance.get(), http.get(), peers.get(), platform.get())
            .claims(claims)
            .limits(limits)
            .operatorKeyHashes(keyHashes)
            .logLevel(level.orElse(LogLevel.INFO))
            .build();
  }

  private static Supplier<InstanceSettings> instance(ConfigSection section) {
    section.require("id", "dataCentre");
    Optional<String> id = SettingValues.name(section, "id");
    Optional<String> dataCentre = SettingValues.name(section, "dataCentre");
    return () ->
        new InstanceSettings(
            new InstanceId(id.orElseThrow()), new DataCentre(dataCentre.orElseThrow()));
  }

  private static Supplier<HttpSettings> http(ConfigSection section) {
    section.require("address");
    Optional<NetworkAddress> address = SettingValues.address(section, "address");
    int bodyLimit =
        SettingValues.positiveSize(section, "bodyLimit").orElse(HttpSettings.DEFAULT_BODY_LIMIT);
    return () -> new HttpSettings(address.orElseThrow(), bodyLimit);
  }

  private static void checkPortsDiffer(ConfigSection http, ConfigSection peers) {
    Optional<String> address = http.text("address");
    boolean fixedPort =
        address.flatMap(NetworkAddress::parse).filter(a -> a.port() != 0).isPresent();
    if (fixedPort && address.equals(peers.text("address"))) {
      peers.reject("address", "the same as http.address; give peers a port of their own");
    }
  }

  private static Supplier<PlatformSettings> platform(ConfigSection section) {
    section.require("address");
    Optional<NetworkAddress> address = SettingValues.address(section, "address");
    Duration timeout =
        SettingValues.positiveDuration(section, "timeout").orElse(PlatformSettings.DEFAULT_TIMEOUT);
    return () -> new PlatformSettings(address.orElseThrow(), timeout);
  }

  private static ClaimSettings claims(ConfigSection section) {
    ClaimSettings defaults = ClaimSettings.DEFAULT;
    Optional<Integer> partitions = section.wholeNumber("partitions", 1, MAX_PARTITIONS);
    Duration renew = SettingValues.positiveDuration(section, "renew").orElse(defaults.renew());
    Duration silence =
        SettingValues.positiveDuration(section, "silence").orElse(defaults.silence());
    if (renew.multipliedBy(MIN_RENEWALS_PER_SILENCE).compareTo(silence) > 0) {
      String key = section.has("silence") ? "silence" : "renew";
      section.reject(key, "silence must be at least twice renew, so that one renewal may be lost");
    }
    return new ClaimSettings(partitions.orElse(defaults.partitions()), renew, silence);
  }

  private static LimitSettings limits(ConfigSection section) {
    LimitSettings defaults = LimitSettings.DEFAULT;
    Optional<Integer> requests = section.wholeNumber("requests", 1, MAX_REQUESTS);
    Optional<Duration> drain = section.duration("drain");
    return new LimitSettings(requests.orElse(defaults.requests()), drain.orElse(defaults.drain()));
  }
}
