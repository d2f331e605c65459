package io.hawthornlb.net.endpoint.support;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Passes on only the response that belongs to the request on a connection.
 *
 * <p>An endpoint may send a response a second time, late, where the next one is expected. Its
 * caller would get another caller's response. Each request therefore carries an id of its own,
 * which endpoints echo, and a response with another id is dropped. The connection is closed after
 * the request's own response. An endpoint that has never echoed an id on the connection is taken at
 * its word.
 */
final class ExchangeIdHandler extends ChannelDuplexHandler {

  /** Header with the id of one sending of a request. */
  static final String HEADER = "X-Exchange-Id";

  private static final String PROCESS = UUID.randomUUID().toString();
  private static final AtomicLong EXCHANGES = new AtomicLong();

  private String expected = "";
  private boolean echoes;
  private boolean dropping;
  private boolean desynchronized;

  /** Adds the handler to the pipeline of a connection, behind its codec. */
  static void addTo(Channel channel, String codec) {
    channel.pipeline().addAfter(codec, "hawthornlb-exchange-id", new ExchangeIdHandler());
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      expected = PROCESS + "-" + EXCHANGES.incrementAndGet();
      request.headers().set(HEADER, expected);
    }
    ctx.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse response) {
      begin(response);
    }
    boolean dropped = dropping;
    if (dropping && message instanceof LastHttpContent) {
      dropping = false;
    }
    if (dropped) {
      ReferenceCountUtil.release(message);
      ctx.read();
      return;
    }
    ctx.fireChannelRead(message);
  }

  private void begin(HttpResponse response) {
    @Nullable String echoed = response.headers().get(HEADER);
    echoes |= echoed != null;
    dropping = echoes && !expected.equals(echoed);
    desynchronized |= dropping;
    if (!dropping) {
      response.headers().remove(HEADER);
      if (desynchronized) {
        HttpUtil.setKeepAlive(response, false);
      }
    }
  }
}
