package io.hawthornlb.standin.support;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;

/** Reads YAML settings strictly: rejects unknown keys, duplicate keys and invalid values. */
public final class SettingsReader {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new YAMLFactory())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(com.fasterxml.jackson.core.JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private SettingsReader() {}

  /**
   * Reads settings from a file.
   *
   * @throws InvalidSettingsException if the file cannot be read or is invalid; the message names
   *     the file and, if known, the line and column
   */
  public static <T> T read(Path file, Class<T> type) {
    try {
      T value = MAPPER.readValue(file.toFile(), type);
      if (value == null) {
        throw new InvalidSettingsException(file + ": the file is empty", null);
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException(position(file, e) + ": " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new InvalidSettingsException(file + ": " + e.getMessage(), e);
    }
  }

  private static String position(Path file, JsonProcessingException e) {
    var location = e.getLocation();
    return location == null
        ? file.toString()
        : file + ":" + location.getLineNr() + ":" + location.getColumnNr();
  }
}
