package io.hawthornlb.http.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.http.BrokenResponseException;
import io.hawthornlb.http.ResponseFault;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Passes bytes through the guard and through the decoder behind it, all at once and one by one. */
class ResponseGuardTest {

  /** Octets that are allowed in any of the three places of the reason and of the value. */
  private static final int TEXT_OCTETS = 224;

  private static final String CHUNKED = "HTTP/1.1 200 OK%r%nTransfer-Encoding: chunked%r%n%r%n";

  /** Guards against a sound response that is refused; the rows are from RFC 9110 and RFC 9112. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '@',
      quoteCharacter = '`',
      value = {
        "HTTP/1.1 200 OK%r%nContent-Length: 4%r%n%r%nbody @ 200 body",
        "HTTP/1.0 200 OK%r%nContent-Length: 4%r%n%r%nbody @ 200 body",
        "HTTP/1.2 200 OK%r%nContent-Length: 4%r%n%r%nbody @ 200 body",
        "HTTP/1.1 200 %r%nContent-Length: 4%r%n%r%nbody @ 200 body",
        "HTTP/1.1 200%r%nContent-Length: 4%r%n%r%nbody @ 200 body",
        "HTTP/1.1 404 Not%tfound, \u00fcber 9%r%nContent-Length: 4%r%n%r%nbody @ 404 body",
        "HTTP/1.1 299 Any%r%nContent-Length: 0%r%n%r%n @ 299",
        "HTTP/1.1 599 Any%r%nContent-Length: 0%r%n%r%n @ 599",
        "HTTP/1.1 200 OK%r%nCONTENT-length:4%r%n%r%nbody @ 200 body",
        "HTTP/1.1 200 OK%r%nContent-Length:%t 0004 %t%r%n%r%nbody @ 200 body",
        "HTTP/1.1 200 OK%r%nA:%r%nB: %t %r%nC: \u00fc%t:\"(%r%nContent-Length: 0%r%n%r%n @ 200",
        "HTTP/1.1 200 OK%r%n!#$%&'*+-.^_`|~9aZ: x%r%nContent-Length: 0%r%n%r%n @ 200",
        "HTTP/1.1 204 No%r%n%r%n @ 204",
        "HTTP/1.1 304 Same%r%nContent-Length: 9%r%n%r%n @ 304",
        "HTTP/1.1 100 Go on%r%n%r%nHTTP/1.1 200 OK%r%nContent-Length: 0%r%n%r%n @ 200",
        "HTTP/1.1 103 Hints%r%nLink: a%r%n%r%nHTTP/1.1 204 No%r%n%r%n @ 204",
        "HTTP/1.1 200 OK%r%nTransfer-Encoding: Chunked%r%n%r%n4%r%nbody%r%n0%r%n%r%n @ 200 body",
        "%c02%r%nbo%r%n2%r%ndy%r%n00%r%n%r%n" + " @ 200 body",
        "%c" + "4;a%r%nbody%r%n0;b=\"c; d\"%r%nTrailer: x%r%nOther:%r%n%r%n @ 200 body",
        "%c4 ; a = b%r%nbody%r%n0%r%n%r%n" + " @ 200 body",
        "%cA%r%n0123456789%r%n0%r%n%r%n" + " @ 200 0123456789",
      })
  void takesWhatTheStandardAllows(String response, String expected) {
    for (boolean single : new boolean[] {false, true}) {
      assertEquals(expected, taken(response, single));
    }
  }

  /** Guards against bytes that the decoder mends or skips. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '@',
      quoteCharacter = '`',
      value = {
        "STATUS      @ HTTP/1.1 000 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS      @ HTTP/1.1 099 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS      @ HTTP/1.1 600 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS      @ HTTP/1.1 2000 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS      @ HTTP/1.1 20 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS      @ HTTP/1.1 +200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS      @ HTTP/1.1  200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ HTTP/2.0 200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ http/1.1 200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ HTTP/1.x 200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ HTTP/1.1%t200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ HTTP/1.1 200%tOK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ HTTP/1.1 200 O%0K%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ %r%nHTTP/1.1 200 OK%r%nContent-Length: 0%r%n%r%n",
        "STATUS_LINE @ %0HTTP/1.1 200 OK%r%nContent-Length: 0%r%n%r%n",
        "UPGRADE     @ HTTP/1.1 101 Other%r%nUpgrade: x%r%n%r%n",
        "FIELD_NAME  @ HTTP/1.1 200 OK%r%nX Y: v%r%nContent-Length: 0%r%n%r%n",
        "FIELD_NAME  @ HTTP/1.1 200 OK%r%nX : v%r%nContent-Length: 0%r%n%r%n",
        "FIELD_NAME  @ HTTP/1.1 200 OK%r%nContent-Length x: 2%r%n%r%nbody",
        "FIELD_NAME  @ HTTP/1.1 200 OK%r%nX: v%r%n%tfolded%r%nContent-Length: 0%r%n%r%n",
        "FIELD_NAME  @ HTTP/1.1 200 OK%r%n X: v%r%nContent-Length: 0%r%n%r%n",
        "FIELD_NAME  @ HTTP/1.1 200 OK%r%nX\u00fc: v%r%nContent-Length: 0%r%n%r%n",
        "FIELD_NAME  @ HTTP/1.1 100 Go on%r%nX Y: v%r%n%r%nHTTP/1.1 204 No%r%n%r%n",
        "FIELD_NAME  @ %c0%r%nX Y: v%r%n%r%n",
        "FIELD_VALUE @ HTTP/1.1 200 OK%r%nA: b%0%r%nContent-Length: 0%r%n%r%n",
        "FIELD_VALUE @ HTTP/1.1 200 OK%r%nA: b%d%r%nContent-Length: 0%r%n%r%n",
        "LINE_END    @ HTTP/1.1 200 OK%nContent-Length: 0%n%n",
        "LINE_END    @ HTTP/1.1 200 OK%r%nA: b%nContent-Length: 0%r%n%r%n",
        "LINE_END    @ HTTP/1.1 200 OK%r%nA: b%rc%r%nContent-Length: 0%r%n%r%n",
        "LINE_END    @ HTTP/1.1 200 OK%r%nContent-Length: 0%r%n%n",
        "LENGTH      @ HTTP/1.1 200 OK%r%nContent-Length: +4%r%n%r%nbody",
        "LENGTH      @ HTTP/1.1 200 OK%r%nContent-Length: 4 4%r%n%r%nbody",
        "LENGTH      @ HTTP/1.1 200 OK%r%nContent-Length:%r%n%r%nbody",
        "LENGTH      @ HTTP/1.1 200 OK%r%nContent-Length: 4, 4%r%n%r%nbody",
        "LENGTH      @ HTTP/1.1 200 OK%r%nContent-Length: 4%r%nContent-Length: 4%r%n%r%nbody",
        "LENGTH      @ HTTP/1.1 200 OK%r%nContent-Length: 18446744073709551620%r%n%r%nbody",
        "TRANSFER_CODING @ HTTP/1.0 200 OK%r%nTransfer-Encoding: chunked%r%n%r%n0%r%n%r%n",
        "TRANSFER_CODING @ HTTP/1.1 200 OK%r%nTransfer-Encoding: xchunked%r%n%r%nbody",
        "TRANSFER_CODING @ HTTP/1.1 200 OK%r%nTransfer-Encoding: gzip, chunked%r%n%r%n0%r%n%r%n",
        "TRANSFER_CODING @ HTTP/1.1 200 OK%r%nTransfer-Encoding: chunked, gzip%r%n%r%n0%r%n%r%n",
        "TRANSFER_CODING @ HTTP/1.1 200%r%nTransfer-Encoding: chunked%r%nContent-Length: 5%r%n%r%n",
        "CHUNK       @ %c%r%n%r%n",
        "CHUNK       @ %c 4%r%nbody%r%n0%r%n%r%n",
        "CHUNK       @ %c4 2%r%nbody%r%n0%r%n%r%n",
        "CHUNK       @ %c0x4%r%nbody%r%n0%r%n%r%n",
        "CHUNK       @ %c-4%r%nbody%r%n0%r%n%r%n",
        "CHUNK       @ %c100000004%r%nbody%r%n",
        "CHUNK       @ %c4;%0%r%nbody%r%n0%r%n%r%n",
        "CHUNK       @ %c4%r%nbody2%r%n0%r%n%r%n",
        "CHUNK       @ %c4%r%nbody%n0%r%n%r%n",
        "FIELD_VALUE @ %c0%r%nA: %0%r%n%r%n",
        "STATUS      @ HTTP/1.1 100 Go on%r%n%r%nHTTP/1.1 000 OK%r%nContent-Length: 0%r%n%r%n",
      })
  void refusesWhatTheDecoderWouldRepair(ResponseFault fault, String response) {
    for (boolean single : new boolean[] {false, true}) {
      EmbeddedChannel channel = channel();
      BrokenResponseException thrown =
          assertThrows(BrokenResponseException.class, () -> write(channel, response, single));
      assertEquals(fault, thrown.fault());
      assertEquals("none", passedOn(channel));
      assertEquals(false, channel.isActive());
    }
  }

  /** Guards against a head that the decoder mends, for any octet in any place. */
  @Test
  void passesOnNoHeadThatTheDecoderMends() {
    String sound = "HTTP/1.1 200 OK\r\nX-A: v\r\nContent-Length: 4\r\n\r\nbody";
    int passed = 0;
    for (int at = 0; at < sound.indexOf("body"); at++) {
      for (char octet = 0; octet < 256; octet++) {
        String text = sound.substring(0, at) + octet + sound.substring(at);
        EmbeddedChannel channel = channel();
        try {
          write(channel, text, false);
        } catch (BrokenResponseException e) {
          continue;
        }
        @Nullable FullHttpResponse response = channel.readInbound();
        if (response != null && response.decoderResult().isSuccess()) {
          assertEquals(linesOf(text), linesOf(response), text);
          passed++;
        }
      }
    }
    assertTrue(passed > 6 * TEXT_OCTETS, passed + " responses were passed on");
  }

  /** Returns the status and the fields, as their lines say. */
  private static List<String> linesOf(String text) {
    List<String> lines = new ArrayList<>();
    for (String line : text.substring(0, text.indexOf("\r\n\r\n")).split("\r\n")) {
      int colon = line.indexOf(':');
      if (lines.isEmpty()) {
        lines.add(line.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
      } else {
        lines.add(field(line.substring(0, colon), line.substring(colon + 1).strip()));
      }
    }
    return lines;
  }

  private static List<String> linesOf(FullHttpResponse response) {
    List<String> lines = new ArrayList<>();
    lines.add(response.status().codeAsText().toString());
    response.headers().forEach(field -> lines.add(field(field.getKey(), field.getValue())));
    return lines;
  }

  /** Returns a field; the aggregator writes the length anew. */
  private static String field(String name, String value) {
    String key = name.toLowerCase(Locale.ROOT);
    return key + "=" + (key.equals("content-length") ? Long.valueOf(value) : value);
  }

  /** Guards against an end that is assumed since nothing spoke against it. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '@',
      value = {
        "HTTP/1.1 200 OK%r%n%r%nbody   @ 200 body @ none",
        "HTTP/1.1 200 OK%r%n%r%n       @ 200      @ none",
        "HTTP/1.1 200 OK%r%nContent-Length: 5%r%n%r%nbody @ none @ none",
        "%c4%r%nbody%r%n               @ none     @ none",
        "%c4%r%nbody%r%n0%r%n          @ none     @ none",
        "HTTP/1.1 200 OK%r%nA: b%r%n   @ none     @ none",
        "HTTP/1.1 2                    @ none     @ none",
        "HTTP/1.1 204 No%r%n%r%n       @ 204      @ 204",
      })
  void endsAResponseWithItsConnectionOnlyIfTheServerClosedIt(
      String text, String closed, String brokenOff) {
    EmbeddedChannel finished = channel();
    write(finished, text, false);
    finished.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertEquals(closed, passedOn(finished));
    assertEquals(false, finished.isActive());

    EmbeddedChannel closedHere = channel();
    write(closedHere, text, false);
    closedHere.close();
    assertEquals(brokenOff, passedOn(closedHere));

    EmbeddedChannel reset = channel();
    write(reset, text, false);
    reset.pipeline().fireExceptionCaught(new IOException("reset"));
    reset.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertEquals(brokenOff, passedOn(reset));
  }

  /** Returns the status and the body of the only response; fails if there is none or another. */
  private static String taken(String text, boolean single) {
    EmbeddedChannel channel = channel();
    write(channel, text, single);
    return passedOn(channel);
  }

  private static String passedOn(EmbeddedChannel channel) {
    @Nullable FullHttpResponse response = null;
    for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
      FullHttpResponse each = (FullHttpResponse) next;
      if (each.decoderResult().isSuccess() && each.status().code() >= 200) {
        assertNull(response);
        response = each;
      }
    }
    if (response == null) {
      return "none";
    }
    return (response.status().code() + " " + response.content().toString(StandardCharsets.UTF_8))
        .trim();
  }

  private static EmbeddedChannel channel() {
    return new EmbeddedChannel(
        new ResponseGuard(new GrammarScanner(() -> false)),
        new HttpResponseDecoder(),
        new HttpObjectAggregator(1_000),
        new Reader());
  }

  /** Takes no response after a failure, like all handlers that read responses. */
  private static final class Reader extends ChannelInboundHandlerAdapter {

    private boolean failed;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (failed) {
        ReferenceCountUtil.release(message);
      } else {
        ctx.fireChannelRead(message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      if (!failed) {
        ctx.fireExceptionCaught(failure);
      }
      failed = true;
    }
  }

  private static void write(EmbeddedChannel channel, String text, boolean single) {
    byte[] bytes = bytes(text);
    int step = single ? 1 : bytes.length;
    for (int i = 0; i < bytes.length; i += step) {
      channel.writeInbound(Unpooled.copiedBuffer(bytes, i, step));
    }
  }

  /** Returns bytes in which a percent sign and a letter stand for a control octet or a head. */
  private static byte[] bytes(String text) {
    return text.replace("%c", CHUNKED)
        .replace("%r", "\r")
        .replace("%n", "\n")
        .replace("%t", "\t")
        .replace("%0", "\0")
        .replace("%d", "\u007f")
        .getBytes(StandardCharsets.ISO_8859_1);
  }
}
