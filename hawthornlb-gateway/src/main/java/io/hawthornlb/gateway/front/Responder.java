package io.hawthornlb.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** The caller's side of one request; takes either one whole answer or a head, parts and an end. */
public interface Responder {

  /** Sends a whole answer. */
  void whole(int status, HttpHeaders headers, byte[] body);

  /** Sends an answer of the gateway's own, with when to come back if that is known. */
  default void own(int status, @Nullable Duration retryAfter) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (retryAfter != null) {
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfter));
    }
    whole(status, headers, new byte[0]);
  }

  /** Returns a time as answers name it, in seconds. */
  static String seconds(Duration time) {
    BigDecimal seconds = BigDecimal.valueOf(time.toMillis(), 3);
    return seconds.setScale(2, RoundingMode.HALF_UP).toPlainString();
  }

  /** Sends the head of an answer whose body follows in parts. */
  void head(int status, HttpHeaders headers);

  /** Sends part of a body; takes over the reference. */
  void part(ByteBuf content);

  /** Ends a body as complete. */
  void end();

  /** Ends the connection so that the answer does not look complete. */
  void breakOff();

  /** Returns whether parts would pile up because the caller reads slowly. */
  boolean congested();
}
