package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.config.EnumNames;

/** What a frame is for. */
enum FrameKind {
  /** The first frame in each direction; its content names the sender. */
  HELLO,
  /** A message that wants an answer. */
  REQUEST,
  /** The answer to a request. */
  ANSWER,
  /** Says that a request has no answer; its content is the cause as text. */
  FAILURE,
  /** A message without an answer. */
  SEND,
  /** Asks for a probe back, so that a silent connection is found. */
  PROBE;

  /** Returns the name on the wire. */
  String wireName() {
    return EnumNames.name(this);
  }
}
