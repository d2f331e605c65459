package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/** One message of a chat. */
public record ChatMessage(String role, String content) {

  /** Creates a message from JSON whose content is either a string or a list of text parts. */
  @JsonCreator
  public static ChatMessage of(
      @JsonProperty("role") @Nullable String role,
      @JsonProperty("content") @Nullable JsonNode content) {
    return new ChatMessage(role == null ? "" : role, content == null ? "" : text(content));
  }

  private static String text(JsonNode content) {
    if (!content.isArray()) {
      return content.asText("");
    }
    StringBuilder joined = new StringBuilder();
    content.forEach(part -> joined.append(part.path("text").asText("")));
    return joined.toString();
  }
}
