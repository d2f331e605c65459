package io.hawthornlb.standin.support;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes the JSON bodies of requests and responses. */
public final class WireJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
          .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, false)
          .serializationInclusion(JsonInclude.Include.ALWAYS)
          .build();

  private WireJson() {}

  /** Returns the shared mapper. Callers must not change its configuration. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Reads a value from a body.
   *
   * @throws MalformedBodyException if the body is not valid JSON for the type, or is JSON null
   */
  public static <T> T read(byte[] body, Class<T> type) {
    try {
      T value = MAPPER.readValue(body, type);
      if (value == null) {
        throw new MalformedBodyException("the body is null", null);
      }
      return value;
    } catch (IOException e) {
      throw new MalformedBodyException("the body is no " + type.getSimpleName(), e);
    }
  }

  /** Returns a value as JSON bytes. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a response with status 200 and a value as body. */
  public static MutableHttpResponse<byte[]> ok(Object value) {
    return answer(HttpStatus.OK, value);
  }

  /** Returns a response with the given status and a value as body. */
  public static MutableHttpResponse<byte[]> answer(HttpStatus status, Object value) {
    return HttpResponse.<byte[]>status(status)
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(write(value));
  }

  /** Returns an error response whose body holds the message. */
  public static MutableHttpResponse<byte[]> error(HttpStatus status, String message) {
    return answer(status, new WireError(new WireError.Cause(message, status.getCode())));
  }
}
