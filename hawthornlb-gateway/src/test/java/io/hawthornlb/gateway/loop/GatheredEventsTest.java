package io.hawthornlb.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GatheredEventsTest {

  private static final int EVENTS = 1_000;

  private final AccountedEventLoop loop = AccountedEventLoop.create();
  private final Semaphore received = new Semaphore(0);

  @AfterEach
  void stopTheLoop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a busy loop that wakes up for each single event. */
  @Test
  void wakesForSeveralEventsOfABusyLoop() throws Exception {
    Channel listening = listen();
    long before = wakes();
    send(listening, EVENTS, TimeUnit.MILLISECONDS.toNanos(1));
    long wakes = wakes() - before;
    assertTrue(wakes < EVENTS / 2, wakes + " wakes for " + EVENTS + " events");
  }

  private Channel listen() throws Exception {
    return new Bootstrap()
        .group(loop)
        .channelFactory(NioDatagramChannel::new)
        .handler(new Listener())
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  private void send(Channel to, int events, long pauseNanos) throws Exception {
    InetSocketAddress address = (InetSocketAddress) to.localAddress();
    try (DatagramSocket socket = new DatagramSocket()) {
      for (int number = 0; number < events; number++) {
        socket.send(new java.net.DatagramPacket(new byte[1], 1, address));
        LockSupport.parkNanos(pauseNanos);
      }
    }
    assertTrue(received.tryAcquire(events, 10, TimeUnit.SECONDS));
  }

  /** Returns how often the loop waited for events. */
  private long wakes() throws Exception {
    return loop.submit(() -> loop.account().count(WorkKind.SELECT)).get();
  }

  /** Counts received datagrams. */
  private final class Listener extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      received.release();
    }
  }
}
