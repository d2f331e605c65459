package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.NotRunStatuses;
import io.hawthornlb.gateway.front.Responder;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Responder for a call that an earlier recipient may have carried out.
 *
 * <p>A response whose status says that the call was not carried out is replaced by a plain 502.
 */
final class UnknownOutcomeResponder implements Responder {

  private static final int UNKNOWN_OUTCOME_STATUS = 502;

  private final Responder caller;

  UnknownOutcomeResponder(Responder caller) {
    this.caller = caller;
  }

  @Override
  public void whole(int status, HttpHeaders headers, byte[] body) {
    if (NotRunStatuses.contains(status)) {
      caller.whole(UNKNOWN_OUTCOME_STATUS, new DefaultHttpHeaders(), new byte[0]);
    } else {
      caller.whole(status, headers, body);
    }
  }

  @Override
  public void sendStatus(int status, @Nullable Duration retryAfter) {
    if (NotRunStatuses.contains(status)) {
      caller.sendStatus(UNKNOWN_OUTCOME_STATUS, null);
    } else {
      caller.sendStatus(status, retryAfter);
    }
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
