package io.hawthornlb.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AccountedEventLoopTest {

  private final AccountedEventLoop loop = AccountedEventLoop.create();

  @AfterEach
  void stopTheLoop() {
    loop.shutdownGracefully();
  }

  @Test
  void countsTimersSeparatelyFromTasks() throws Exception {
    CountDownLatch fired = new CountDownLatch(1);
    loop.submit(() -> loop.schedule(fired::countDown, 1, TimeUnit.MILLISECONDS)).sync();
    assertTrue(fired.await(5, TimeUnit.SECONDS));
    assertEquals(1, counted(WorkKind.TIMER));
    assertTrue(counted(WorkKind.TASK) >= 2, "the tasks of this test must be counted");
  }

  @Test
  void countsConnectionsAndReads() throws Exception {
    CountDownLatch read = new CountDownLatch(1);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel listening =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(NioServerSocketChannel::new)
            .childHandler(new Reader(read))
            .bind(any)
            .sync()
            .channel();
    Channel caller =
        new Bootstrap()
            .group(loop)
            .channelFactory(NioSocketChannel::new)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(listening.localAddress())
            .sync()
            .channel();
    caller.writeAndFlush(Unpooled.copiedBuffer(new byte[] {1})).sync();
    assertTrue(read.await(5, TimeUnit.SECONDS));
    assertEquals(1, counted(WorkKind.ACCEPT));
    assertEquals(1, counted(WorkKind.CONNECT));
    assertEquals(1, counted(WorkKind.CALLER));
  }

  private long counted(WorkKind kind) throws Exception {
    return loop.submit(() -> loop.account().count(kind)).get();
  }

  /** Accounts what it reads as a request of a caller. */
  private static final class Reader extends SimpleChannelInboundHandler<Object> {

    private final CountDownLatch read;

    private Reader(CountDownLatch read) {
      this.read = read;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      WorkAccount.noteKind(ctx.channel(), WorkKind.CALLER);
      read.countDown();
    }
  }
}
