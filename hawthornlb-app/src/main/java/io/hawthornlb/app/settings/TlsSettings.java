package io.hawthornlb.app.settings;

import io.hawthornlb.net.tls.TlsFiles;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * Key files for connections between peers.
 *
 * @param mode whether TLS is used
 * @param certificate PEM file with the certificate chain of this instance; present if mutual
 * @param key PEM file with its private key in PKCS 8; present if mutual
 * @param trust PEM file with the certificates that peers must chain to; present if mutual
 * @param reload how often the files are looked at for changes
 */
public record TlsSettings(
    TlsMode mode,
    Optional<Path> certificate,
    Optional<Path> key,
    Optional<Path> trust,
    Duration reload) {

  /** How often to look at the files unless the settings say otherwise. */
  public static final Duration DEFAULT_RELOAD = Duration.ofSeconds(30);

  /** Settings without TLS. */
  public static final TlsSettings PLAIN =
      new TlsSettings(
          TlsMode.PLAIN, Optional.empty(), Optional.empty(), Optional.empty(), DEFAULT_RELOAD);

  /** Returns the key files, or empty without TLS. */
  public Optional<TlsFiles> files() {
    return mode == TlsMode.PLAIN
        ? Optional.empty()
        : Optional.of(
            new TlsFiles(certificate.orElseThrow(), key.orElseThrow(), trust.orElseThrow()));
  }
}
