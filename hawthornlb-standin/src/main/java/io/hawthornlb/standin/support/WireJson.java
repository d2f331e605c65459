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

/** JSON as it stands on the wire. */
public final class WireJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
          .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, false)
          .serializationInclusion(JsonInclude.Include.ALWAYS)
          .build();

  private WireJson() {}

  /** Returns the mapper; callers do not configure it. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Reads a body.
   *
   * @throws MalformedBodyException if it is no such value
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

  /** Returns the bytes of a value. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a 200 that carries a value. */
  public static MutableHttpResponse<byte[]> ok(Object value) {
    return answer(HttpStatus.OK, value);
  }

  /** Returns an answer that carries a value. */
  public static MutableHttpResponse<byte[]> answer(HttpStatus status, Object value) {
    return HttpResponse.<byte[]>status(status)
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(write(value));
  }

  /** Returns an answer whose body names the error. */
  public static MutableHttpResponse<byte[]> error(HttpStatus status, String message) {
    return answer(status, new WireError(new WireError.Cause(message, status.getCode())));
  }
}
