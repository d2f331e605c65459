package io.hawthornlb.http.support;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures what the guard adds to the decoding of a response. */
@Tag("bench")
class ResponseGuardBench {

  private static final int ROUNDS = 100_000;
  private static final int REPEATS = 7;
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: 244c8bc2d155097b\r\n"
          + "X-Instance-Id: engine-12~1765072800000\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
          + "Keep-Alive: timeout=5\r\nDate: Mon, 07 Dec 2026 02:08:10 GMT\r\n";

  @Test
  void costsOfAResponse() {
    String whole = HEAD + "Content-Length: 2048\r\n\r\n" + "x".repeat(2_048);
    String event = "id: 17\ndata: {\"text\": \"" + "x".repeat(40) + "\"}\n\n";
    String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    String stream = HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(20) + "0\r\n\r\n";
    print("a response of 2 KiB", whole);
    print("a stream of 20 events", stream);
  }

  private static void print(String what, String response) {
    byte[] bytes = response.getBytes(StandardCharsets.US_ASCII);
    double plain = Double.MAX_VALUE;
    double guarded = Double.MAX_VALUE;
    for (int i = 0; i < REPEATS; i++) {
      plain = Math.min(plain, nanos(bytes, new HttpResponseDecoder(), new Sink()));
      ResponseGuard guard = new ResponseGuard(new GrammarScanner(() -> false));
      guarded = Math.min(guarded, nanos(bytes, guard, decoder(), new Sink()));
    }
    System.out.printf(
        Locale.ROOT, "| %s | %.0f ns decoded | %.0f ns guarded |%n", what, plain, guarded);
  }

  /** Returns a decoder that leaves the check of fields to the guard. */
  private static HttpResponseDecoder decoder() {
    return new HttpResponseDecoder(new HttpDecoderConfig().setValidateHeaders(false));
  }

  private static double nanos(byte[] response, ChannelHandler... handlers) {
    EmbeddedChannel channel = new EmbeddedChannel(handlers);
    ByteBuf source = Unpooled.directBuffer().writeBytes(response);
    long start = System.nanoTime();
    for (int round = 0; round < ROUNDS; round++) {
      channel.writeInbound(source.retainedDuplicate());
    }
    double each = (System.nanoTime() - start) / (double) ROUNDS;
    source.release();
    channel.close();
    return each;
  }

  /** Releases what has been decoded. */
  private static final class Sink extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
    }
  }
}
