package io.hawthornlb.core.catalogue;

/** What kind of endpoint serves a catalogue entry. */
public enum ServiceKind {
  /** A model engine that batches continuously and streams tokens. */
  ENGINE,
  /** A plain HTTP service. */
  PLAIN
}
