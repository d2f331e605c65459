package io.hawthornlb.app.settings;

import io.hawthornlb.net.tls.TlsFiles;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * TLS settings for connections between peers.
 *
 * @param mode whether peers use mutual TLS or none
 * @param certificate PEM file with the certificate chain of this instance; present if mutual
 * @param key PEM file with its private key in PKCS 8 format; present if mutual
 * @param trust PEM file with the certificates that peers must chain to; present if mutual
 * @param reload the interval at which the files are checked for changes
 */
public record TlsSettings(
    TlsMode mode,
    Optional<Path> certificate,
    Optional<Path> key,
    Optional<Path> trust,
    Duration reload) {

  /** Default interval at which the files are checked for changes. */
  public static final Duration DEFAULT_RELOAD = Duration.ofSeconds(30);

  /** Settings without TLS. */
  public static final TlsSettings PLAIN =
      new TlsSettings(
          TlsMode.PLAIN, Optional.empty(), Optional.empty(), Optional.empty(), DEFAULT_RELOAD);

  /** Returns the certificate and key files; empty without TLS. */
  public Optional<TlsFiles> files() {
    return mode == TlsMode.PLAIN
        ? Optional.empty()
        : Optional.of(
            new TlsFiles(certificate.orElseThrow(), key.orElseThrow(), trust.orElseThrow()));
  }
}
