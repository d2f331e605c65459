package io.hawthornlb.gateway.wire;

import java.util.Locale;

/** Part of an answer in which an endpoint sent too many bytes. */
public enum AnswerPart {
  /** Bytes that make no event of a stream. */
  EVENT,
  /** Bytes before the answer of the request that waits. */
  BEFORE_ANSWER,
  /** A body that nobody gets, or the output of an item. */
  BODY;

  /** Returns the metric label and log value of this part. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
