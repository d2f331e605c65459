package io.hawthornlb.net.peer.support;

import java.nio.charset.StandardCharsets;

/**
 * One frame between peers.
 *
 * @param correlation the id that relates a response to its request; 0 for frames of other kinds
 * @param kind the purpose of the frame
 * @param content the encoded message or text; empty for probes
 */
record PeerFrame(long correlation, FrameKind kind, byte[] content) {

  private static final byte[] EMPTY = {};

  static PeerFrame probe() {
    return new PeerFrame(0, FrameKind.PROBE, EMPTY);
  }

  static PeerFrame failure(long correlation, String cause) {
    return new PeerFrame(correlation, FrameKind.FAILURE, cause.getBytes(StandardCharsets.UTF_8));
  }

  String text() {
    return new String(content, StandardCharsets.UTF_8);
  }
}
