package io.hawthornlb.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.function.IntUnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Responder that replaces some statuses of complete responses. A replaced response has neither
 * headers nor a body.
 */
public final class StatusMappingResponder implements Responder {

  private final Responder caller;
  private final IntUnaryOperator mapping;

  /**
   * Creates a responder.
   *
   * @param mapping returns the status to send in place of a status, or that status itself
   */
  public StatusMappingResponder(Responder caller, IntUnaryOperator mapping) {
    this.caller = caller;
    this.mapping = mapping;
  }

  @Override
  public void whole(int status, HttpHeaders headers, byte[] body) {
    int mapped = mapping.applyAsInt(status);
    if (mapped == status) {
      caller.whole(status, headers, body);
    } else {
      caller.whole(mapped, new DefaultHttpHeaders(), new byte[0]);
    }
  }

  @Override
  public void sendStatus(int status, @Nullable Duration retryAfter) {
    int mapped = mapping.applyAsInt(status);
    caller.sendStatus(mapped, mapped == status ? retryAfter : null);
  }

  @Override
  public void head(int status, HttpHeaders headers) {
    caller.head(status, headers);
  }

  @Override
  public void part(ByteBuf content) {
    caller.part(content);
  }

  @Override
  public void end() {
    caller.end();
  }

  @Override
  public void breakOff() {
    caller.breakOff();
  }

  @Override
  public boolean congested() {
    return caller.congested();
  }
}
