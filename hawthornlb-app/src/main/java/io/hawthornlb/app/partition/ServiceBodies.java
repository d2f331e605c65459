package io.hawthornlb.app.partition;

import io.hawthornlb.core.runonce.ServiceResult;
import io.hawthornlb.net.endpoint.EndpointResponse;
import java.nio.charset.StandardCharsets;

/**
 * Converts service answers between the types of the endpoint client and of the log records.
 *
 * <p>A body is converted to text in ISO 8859-1, with one character for each byte. This conversion
 * preserves every byte.
 */
final class ServiceBodies {

  private ServiceBodies() {}

  static String text(byte[] body) {
    return new String(body, StandardCharsets.ISO_8859_1);
  }

  static byte[] bytes(String body) {
    return body.getBytes(StandardCharsets.ISO_8859_1);
  }

  static ServiceResult result(EndpointResponse answer) {
    return new ServiceResult(answer.status(), answer.headers(), text(answer.body()));
  }

  static EndpointResponse answer(ServiceResult result) {
    return new EndpointResponse(result.status(), result.headers(), bytes(result.body()));
  }
}
