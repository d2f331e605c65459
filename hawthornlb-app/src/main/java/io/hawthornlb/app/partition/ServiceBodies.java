package io.hawthornlb.app.partition;

import io.hawthornlb.core.runonce.ServiceResult;
import io.hawthornlb.net.endpoint.EndpointResponse;
import java.nio.charset.StandardCharsets;

/**
 * Turns answers between the forms of endpoints and of records.
 *
 * <p>Bodies travel as text with one character a byte, so that every byte arrives as it was.
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
