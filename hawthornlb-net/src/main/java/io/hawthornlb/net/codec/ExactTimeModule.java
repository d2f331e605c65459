package io.hawthornlb.net.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;

/**
 * Writes instants and durations as an array of seconds and nanoseconds.
 *
 * <p>Jackson by default writes a decimal number of seconds. MessagePack has no decimal type, so a
 * time that a double cannot represent exactly would fail to encode.
 */
final class ExactTimeModule extends SimpleModule {

  private static final long serialVersionUID = 1L;

  ExactTimeModule() {
    super("exact-time");
    addSerializer(Instant.class, new InstantWriter());
    addDeserializer(Instant.class, new InstantReader());
    addSerializer(Duration.class, new DurationWriter());
    addDeserializer(Duration.class, new DurationReader());
  }

  private static void write(JsonGenerator out, long seconds, int nanos) throws IOException {
    out.writeArray(new long[] {seconds, nanos}, 0, 2);
  }

  private static long[] read(JsonParser in) throws IOException {
    long[] parts = in.readValueAs(long[].class);
    if (parts.length != 2) {
      throw new CodecException("expected an array of seconds and nanoseconds", null);
    }
    return parts;
  }

  private static final class InstantWriter extends JsonSerializer<Instant> {

    @Override
    public void serialize(Instant value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      write(out, value.getEpochSecond(), value.getNano());
    }
  }

  private static final class InstantReader extends JsonDeserializer<Instant> {

    @Override
    public Instant deserialize(JsonParser in, DeserializationContext context) throws IOException {
      long[] parts = read(in);
      return Instant.ofEpochSecond(parts[0], parts[1]);
    }
  }

  private static final class DurationWriter extends JsonSerializer<Duration> {

    @Override
    public void serialize(Duration value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      write(out, value.getSeconds(), value.getNano());
    }
  }

  private static final class DurationReader extends JsonDeserializer<Duration> {

    @Override
    public Duration deserialize(JsonParser in, DeserializationContext context) throws IOException {
      long[] parts = read(in);
      return Duration.ofSeconds(parts[0], parts[1]);
    }
  }
}
