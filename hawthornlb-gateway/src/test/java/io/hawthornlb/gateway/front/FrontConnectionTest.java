package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FrontConnectionTest {

  private final List<Responder> responders = new ArrayList<>();
  private final EmbeddedChannel channel = channel();

  /** Each event leaves by itself, as one buffer, as soon as it is there. */
  @Test
  void passesEachPartOnAtOnceAsOneBuffer() {
    request("POST");
    responder().head(200, new DefaultHttpHeaders());
    assertTrue(sent().get(0).startsWith("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"));
    responder().part(text("id: 1\ndata: abcdefgh\n\n"));
    assertEquals(List.of("16\r\nid: 1\ndata: abcdefgh\n\n\r\n"), sent());
    responder().part(text("x"));
    assertEquals(List.of("1\r\nx\r\n"), sent());
    responder().end();
    assertEquals("0\r\n\r\n", String.join("", sent()));
  }

  /** A caller takes a stream for complete that goes on: an empty chunk is the end of an answer. */
  @Test
  void aPartWithoutBytesDoesNotEndTheAnswer() {
    request("POST");
    responder().head(200, new DefaultHttpHeaders());
    sent();
    responder().part(Unpooled.EMPTY_BUFFER);
    assertEquals("", String.join("", sent()));
    responder().part(text("x"));
    assertEquals(List.of("1\r\nx\r\n"), sent());
  }

  /** The next answer on a connection would be read behind bytes that belong to none. */
  @Test
  void answersToHeadHaveNoBody() {
    request("HEAD");
    responder().head(200, new DefaultHttpHeaders());
    sent();
    responder().part(text("x"));
    responder().end();
    assertEquals("", String.join("", sent()));
  }

  @Test
  void partsOfAnAnswerWithALengthAreNotFramed() {
    request("POST");
    responder().head(200, new DefaultHttpHeaders().set("content-length", 3));
    assertFalse(sent().get(0).contains("chunked"));
    responder().part(text("abc"));
    responder().end();
    assertEquals("abc", String.join("", sent()));
  }

  private EmbeddedChannel channel() {
    RequestHandler handler =
        (request, responder) -> {
          responders.add(responder);
          return new RequestHandler.Handling() {
            @Override
            public void callerGone() {
              // Nobody leaves in these tests.
            }

            @Override
            public void drained() {
              // Nothing waits in these tests.
            }
          };
        };
    FrontServer server =
        new FrontServer(handler, new ConfigHolder(), InstantSource.system(), new SilentEventLog());
    FrontConnection connection = new FrontConnection(server);
    return new EmbeddedChannel(
        new FirstBytesHandler(connection), new HttpServerCodec(), connection);
  }

  private void request(String method) {
    channel.writeInbound(text(method + " /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
  }

  private Responder responder() {
    return responders.get(responders.size() - 1);
  }

  /** Returns the buffers that were sent since the last call. */
  private List<String> sent() {
    List<String> sent = new ArrayList<>();
    ByteBuf next = channel.readOutbound();
    while (next != null) {
      if (next.isReadable()) {
        sent.add(next.toString(StandardCharsets.UTF_8));
      }
      next.release();
      next = channel.readOutbound();
    }
    return sent;
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
