package io.hawthornlb.gateway.wire;

import java.util.Locale;

/** Part of an answer in which an endpoint sent too many bytes. */
public enum AnswerPart {
  /** Bytes that make no event of a stream. */
  EVENT;

  /** Returns the metric label and log value of this part. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
