package io.hawthornlb.app.settings;

/** How peers authenticate each other. */
public enum TlsMode {
  /** Both sides show a certificate that chains to the trusted ones. */
  MUTUAL,
  /** No TLS; allowed on loopback addresses only. */
  PLAIN
}
