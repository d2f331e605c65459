package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.loop.WorkKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to a request at an endpoint. */
public interface EndpointCallListener {

  /** Returns the kind of work that the answer is. */
  WorkKind work();

  /** Takes status and headers. */
  void onResponse(HttpResponse response);

  /** Takes part of the body; it is released after the call. */
  void onContent(ByteBuf content);

  /** Is told that the answer is whole. */
  void onEnd();

  /**
   * Is told that no whole answer will come.
   *
   * @param sent whether the endpoint may have received the request
   */
  void onFailure(boolean sent, String cause);
}
