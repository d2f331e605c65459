package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.Responder;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Records the response that a caller would get. */
final class RecordingResponder implements Responder {

  private int status;
  private String text = "";
  private @Nullable Duration retryAfter;

  /** Returns the status of the response; 0 before there is one. */
  int status() {
    return status;
  }

  /** Returns the body of the response. */
  String text() {
    return text;
  }

  /** Returns the retry delay in the response; null if it has none. */
  @Nullable Duration retryAfter() {
    return retryAfter;
  }

  @Override
  public void whole(int code, HttpHeaders headers, byte[] body) {
    status = code;
    text = new String(body, StandardCharsets.UTF_8);
  }

  @Override
  public void sendStatus(int code, @Nullable Duration after) {
    status = code;
    retryAfter = after;
  }

  @Override
  public void head(int code, HttpHeaders headers) {
    throw new UnsupportedOperationException("Responses about jobs are not streamed");
  }

  @Override
  public void part(ByteBuf content) {
    throw new UnsupportedOperationException("Responses about jobs are not streamed");
  }

  @Override
  public void end() {
    throw new UnsupportedOperationException("Responses about jobs are not streamed");
  }

  @Override
  public void breakOff() {
    throw new UnsupportedOperationException("Responses about jobs are not streamed");
  }

  @Override
  public boolean congested() {
    return false;
  }
}
