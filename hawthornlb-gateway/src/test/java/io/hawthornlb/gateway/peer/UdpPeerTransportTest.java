package io.hawthornlb.gateway.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UdpPeerTransportTest {

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final RecordingEventLog log = new RecordingEventLog();

  @AfterEach
  void end() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against a log that overflows within a minute and drops relevant events, because each of
   * thousands of foreign datagrams is logged. Messages of peers must still be received.
   */
  @Test
  void logsForeignDatagramsOnceAndReceivesPeerMessages() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    InetSocketAddress at;
    try (DatagramSocket free = new DatagramSocket(0, loopback)) {
      at = new InetSocketAddress(loopback, free.getLocalPort());
    }
    List<PeerCodec.Envelope> received = new CopyOnWriteArrayList<>();
    UdpPeerTransport transport = new UdpPeerTransport(loop, at, "a1", InstantSource.system(), log);
    transport.onMessage(received::add);
    byte[] foreign = "GET / HTTP/1.1".getBytes(StandardCharsets.US_ASCII);
    PeerCodec.Envelope ours = new PeerCodec.Envelope("a2", new PeerMessage.Held(1, 2));
    byte[] good = PeerCodec.encode(ours);
    try (DatagramSocket foreignSender = new DatagramSocket(0, loopback)) {
      for (int i = 0; i < 100; i++) {
        foreignSender.send(new DatagramPacket(foreign, foreign.length, at));
      }
      await()
          .until(
              () -> {
                foreignSender.send(new DatagramPacket(good, good.length, at));
                return received.contains(ours);
              });
    }
    long reports = log.events().stream().filter("peer.datagram.foreign"::equals).count();
    assertTrue(reports >= 1);
    assertEquals(1, reports);
  }
}
