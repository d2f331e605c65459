package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.config.EnumNames;

/** The purpose of a frame. */
enum FrameKind {
  /** The first frame in each direction. Its content identifies the sender. */
  HELLO,
  /** A message that expects a response. */
  REQUEST,
  /** The response to a request. */
  ANSWER,
  /** Reports that a request failed. Its content is the cause as text. */
  FAILURE,
  /** A message that expects no response. */
  SEND,
  /** A heartbeat that the receiver sends back, to detect an unresponsive connection. */
  PROBE;

  /** Returns the name used on the wire. */
  String wireName() {
    return EnumNames.name(this);
  }
}
