package io.hawthornlb.gateway.peer;

import java.util.function.Consumer;

/** Carries messages between processes of the fleet; they may be lost. */
public interface PeerTransport {

  /** Sends a message; does nothing if the process is unknown. */
  void send(GatewayInstance to, PeerMessage message);

  /** Adds a receiver; each gets all messages. */
  void onMessage(Consumer<PeerCodec.Envelope> receiver);
}
