package io.hawthornlb.gateway.wire;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Whether the end of a response can be told from the end of its connection. */
public final class AnswerFraming {

  private AnswerFraming() {}

  /** Returns whether a response has a length or comes in chunks. */
  public static boolean isFramed(HttpResponse response) {
    return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
  }

  /** Returns whether a response has no body because of its status. */
  static boolean isBodiless(HttpResponse response) {
    HttpResponseStatus status = response.status();
    return status.equals(HttpResponseStatus.NO_CONTENT)
        || status.equals(HttpResponseStatus.NOT_MODIFIED);
  }
}
