package io.hawthornlb.core.catalogue;

/** Kind of endpoint that serves a catalogue entry. */
public enum ServiceKind {
  /** A model engine, which uses continuous batching and streams tokens. */
  ENGINE,
  /** A plain HTTP service. */
  PLAIN
}
