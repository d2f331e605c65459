package io.hawthornlb.app.settings;

/** Mode in which peers authenticate each other. */
public enum TlsMode {
  /** Both sides present a certificate that chains to a trusted certificate. */
  MUTUAL,
  /** No TLS and no authentication; allowed on loopback addresses only. */
  PLAIN
}
