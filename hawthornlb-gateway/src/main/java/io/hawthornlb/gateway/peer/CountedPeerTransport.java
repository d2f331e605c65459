package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.metric.GatewayMetrics;
import java.util.function.Consumer;

/** Transport that counts sent and received messages by kind. */
public final class CountedPeerTransport implements PeerTransport {

  private static final String SENT = "datagrams.sent";
  private static final String RECEIVED = "datagrams.received";

  private final PeerTransport transport;
  private final GatewayMetrics metrics;

  /** Creates a transport that delegates to another one. */
  public CountedPeerTransport(PeerTransport transport, GatewayMetrics metrics) {
    this.transport = transport;
    this.metrics = metrics;
    transport.onMessage(envelope -> metrics.count(RECEIVED, kind(envelope.message())));
  }

  @Override
  public void send(GatewayInstance to, PeerMessage message) {
    metrics.count(SENT, kind(message));
    transport.send(to, message);
  }

  @Override
  public void onMessage(Consumer<PeerCodec.Envelope> receiver) {
    transport.onMessage(receiver);
  }

  private static String kind(PeerMessage message) {
    return message instanceof PeerMessage.Answer answer
        ? answer.answer().getClass().getSimpleName()
        : message.getClass().getSimpleName();
  }
}
