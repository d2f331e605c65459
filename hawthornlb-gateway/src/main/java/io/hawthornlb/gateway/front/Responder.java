package io.hawthornlb.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Sends the response to one request. A response is either sent whole, or as a head, parts and an
 * end.
 */
public interface Responder {

  /** Sends a complete response. */
  void whole(int status, HttpHeaders headers, byte[] body);

  /**
   * Sends a response that the gateway itself creates, without a body. Includes Retry-After if a
   * time is given.
   */
  default void sendStatus(int status, @Nullable Duration retryAfter) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (retryAfter != null) {
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfter));
    }
    whole(status, headers, new byte[0]);
  }

  /** Formats a duration for Retry-After, in seconds with two decimals. */
  static String seconds(Duration time) {
    BigDecimal seconds = BigDecimal.valueOf(time.toMillis(), 3);
    return seconds.setScale(2, RoundingMode.HALF_UP).toPlainString();
  }

  /** Sends the head of a response whose body follows in parts. */
  void head(int status, HttpHeaders headers);

  /** Sends part of a body; takes ownership of the buffer's reference. */
  void part(ByteBuf content);

  /** Ends the response as complete. */
  void end();

  /** Closes the connection so that the caller cannot take the response for a complete one. */
  void breakOff();

  /** Returns whether further parts would accumulate in memory because the caller reads slowly. */
  boolean congested();
}
