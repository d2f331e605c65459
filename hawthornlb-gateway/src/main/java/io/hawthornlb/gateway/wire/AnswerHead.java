package io.hawthornlb.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Whether a head is that of one answer.
 *
 * <p>If an answer breaks off inside its head and another follows, the decoder joins both: the
 * status of the first comes with headers of the second, whose status line stands inside the reason
 * or inside the value of a header. Inside a name it is no token, and such a head is never decoded.
 */
final class AnswerHead {

  private static final String PROTOCOL = "HTTP";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  private AnswerHead() {}

  /** Returns whether a head contains no second status line. */
  static boolean isSingle(HttpResponse response, HeaderNames names) {
    HttpHeaders headers = response.headers();
    if (containsStatusLine(response.status().reasonPhrase())
        || headers.getAll(names.requestId()).size() > 1
        || headers.getAll(names.signature()).size() > 1) {
      return false;
    }
    for (Map.Entry<String, String> header : headers) {
      if (containsStatusLine(header.getValue())) {
        return false;
      }
    }
    return true;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
  }
}
