package io.hawthornlb.net.peer.support;

import java.nio.charset.StandardCharsets;

/**
 * One frame between peers.
 *
 * @param correlation joins an answer to its request; 0 where there is none
 * @param kind what the frame is for
 * @param content the encoded message or text; empty for probes
 */
record PeerFrame(long correlation, FrameKind kind, byte[] content) {

  private static final byte[] NOTHING = {};

  static PeerFrame probe() {
    return new PeerFrame(0, FrameKind.PROBE, NOTHING);
  }

  static PeerFrame failure(long correlation, String cause) {
    return new PeerFrame(correlation, FrameKind.FAILURE, cause.getBytes(StandardCharsets.UTF_8));
  }

  String text() {
    return new String(content, StandardCharsets.UTF_8);
  }
}
