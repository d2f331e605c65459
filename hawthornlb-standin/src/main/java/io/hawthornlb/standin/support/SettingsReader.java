package io.hawthornlb.standin.support;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;

/** Reads YAML settings strictly: unknown keys, wrong types and bad values are refused. */
public final class SettingsReader {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new YAMLFactory())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(com.fasterxml.jackson.core.JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private SettingsReader() {}

  /**
   * Reads a file.
   *
   * @throws InvalidSettingsException if it cannot be read or holds a fault, with its place
   */
  public static <T> T read(Path file, Class<T> type) {
    try {
      T value = MAPPER.readValue(file.toFile(), type);
      if (value == null) {
        throw new InvalidSettingsException(file + ": the file is empty", null);
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException(place(file, e) + ": " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new InvalidSettingsException(file + ": " + e.getMessage(), e);
    }
  }

  private static String place(Path file, JsonProcessingException e) {
    var at = e.getLocation();
    return at == null ? file.toString() : file + ":" + at.getLineNr() + ":" + at.getColumnNr();
  }
}
