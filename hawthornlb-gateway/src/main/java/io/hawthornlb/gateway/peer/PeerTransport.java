package io.hawthornlb.gateway.peer;

import java.util.function.Consumer;

/** Sends messages between processes of the fleet; a message may be lost. */
public interface PeerTransport {

  /** Sends a message; has no effect if the process is unknown. */
  void send(GatewayInstance to, PeerMessage message);

  /** Adds a receiver; every receiver gets all messages. */
  void onMessage(Consumer<PeerCodec.Envelope> receiver);
}
