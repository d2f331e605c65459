package io.hawthornlb.net.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes a value as a MessagePack array of its type name and its content.
 *
 * <p>A value with an unknown type name decodes to empty, so that instances of an older version skip
 * records that only a newer version knows. Unknown members of a known type are ignored.
 *
 * @param <T> the common supertype of the values
 */
public final class MessagePackCodec<T> {

  private final TypeRegistry<T> registry;
  private final ObjectMapper mapper;

  /** Creates a codec for the registered types. */
  public MessagePackCodec(TypeRegistry<T> registry) {
    this.registry = registry;
    this.mapper = createMapper();
  }

  private static ObjectMapper createMapper() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new Jdk8Module());
    mapper.registerModule(new ExactTimeModule());
    mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    mapper.configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, false);
    return mapper;
  }

  /** Returns the encoded value. */
  public byte[] encode(T value) {
    try {
      return mapper.writeValueAsBytes(List.of(registry.name(value.getClass()), value));
    } catch (IOException e) {
      throw new CodecException("cannot encode " + value.getClass().getSimpleName(), e);
    }
  }

  /**
   * Returns the decoded value, or empty if its type is unknown to this version.
   *
   * @throws CodecException if the bytes are not an encoded value
   */
  public Optional<T> decode(byte[] bytes) {
    try {
      JsonNode array = mapper.readTree(bytes);
      if (array == null || !array.isArray() || array.size() != 2) {
        throw new CodecException("expected an array of type name and content", null);
      }
      Optional<Class<? extends T>> type = registry.type(array.get(0).asText());
      if (type.isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(mapper.treeToValue(array.get(1), type.get()));
    } catch (IOException | IllegalArgumentException e) {
      throw new CodecException("cannot decode a value", e);
    }
  }
}
