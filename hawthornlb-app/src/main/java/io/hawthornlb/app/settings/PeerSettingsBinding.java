package io.hawthornlb.app.settings;

import io.hawthornlb.core.config.ConfigBinding;
import io.hawthornlb.core.config.ConfigSection;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Reads and validates the {@code peers} section of the settings. */
final class PeerSettingsBinding implements ConfigBinding<PeerSettings> {

  private static final List<String> KEY_FILES = List.of("certificate", "key", "trust");

  private final Path settingsFile;

  PeerSettingsBinding(Path settingsFile) {
    this.settingsFile = settingsFile;
  }

  @Override
  public Supplier<PeerSettings> bind(ConfigSection section) {
    section.require("address");
    Optional<NetworkAddress> address = SettingValues.address(section, "address");
    Supplier<TlsSettings> tls = tls(section.section("tls"), address);
    Duration probe =
        SettingValues.positiveDuration(section, "probe").orElse(PeerSettings.DEFAULT_PROBE);
    Duration silence =
        SettingValues.positiveDuration(section, "silence").orElse(PeerSettings.DEFAULT_SILENCE);
    if (probe.multipliedBy(2).compareTo(silence) > 0) {
      String key = section.has("silence") ? "silence" : "probe";
      section.reject(key, "silence must be at least twice probe, so that one probe may be late");
    }
    int frameLimit =
        SettingValues.positiveSize(section, "frameLimit").orElse(PeerSettings.DEFAULT_FRAME_LIMIT);
    List<Supplier<KnownPeer>> known =
        section.sections("known").stream().map(PeerSettingsBinding::knownPeer).toList();
    return () ->
        new PeerSettings(
            address.orElseThrow(),
            tls.get(),
            probe,
            silence,
            frameLimit,
            known.stream().map(Supplier::get).toList());
  }

  private static Supplier<KnownPeer> knownPeer(ConfigSection section) {
    section.require("id", "dataCentre", "address");
    Optional<String> id = SettingValues.name(section, "id");
    Optional<String> dataCentre = SettingValues.name(section, "dataCentre");
    Optional<NetworkAddress> address = SettingValues.address(section, "address");
    return () ->
        new KnownPeer(
            new InstanceId(id.orElseThrow()),
            new DataCentre(dataCentre.orElseThrow()),
            address.orElseThrow());
  }

  private Supplier<TlsSettings> tls(ConfigSection section, Optional<NetworkAddress> address) {
    section.require("mode");
    Optional<TlsMode> mode = section.choice("mode", TlsMode.class);
    mode.ifPresent(value -> checkMode(section, value, address));
    Optional<Path> certificate = file(section, "certificate");
    Optional<Path> key = file(section, "key");
    Optional<Path> trust = file(section, "trust");
    Duration reload =
        SettingValues.positiveDuration(section, "reload").orElse(TlsSettings.DEFAULT_RELOAD);
    return () -> new TlsSettings(mode.orElseThrow(), certificate, key, trust, reload);
  }

  private static void checkMode(
      ConfigSection section, TlsMode mode, Optional<NetworkAddress> address) {
    if (mode == TlsMode.MUTUAL) {
      KEY_FILES.forEach(section::require);
      return;
    }
    KEY_FILES.stream()
        .filter(section::has)
        .forEach(key -> section.reject(key, "contradicts mode plain; remove one of them"));
    if (address.isPresent() && !address.get().isLoopback()) {
      section.reject("mode", "plain is allowed on a loopback address only; use mutual");
    }
  }

  private Optional<Path> file(ConfigSection section, String key) {
    Optional<Path> file = section.text(key).map(settingsFile::resolveSibling);
    if (file.isPresent() && !Files.isReadable(file.get())) {
      section.reject(key, "cannot read the file " + file.get());
    }
    return file;
  }
}
