package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.loop.WorkKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives an endpoint's response to a request. */
public interface EndpointCallListener {

  /** Returns the kind of work to which processing the response is accounted. */
  WorkKind work();

  /** Called with the status and headers. */
  void onResponse(HttpResponse response);

  /** Called with a part of the body; the buffer is released after the call. */
  void onContent(ByteBuf content);

  /** Called when the response is complete. */
  void onEnd();

  /**
   * Called when no complete response will arrive.
   *
   * @param sent whether the endpoint may have received the request
   */
  void onFailure(boolean sent, String cause);
}
