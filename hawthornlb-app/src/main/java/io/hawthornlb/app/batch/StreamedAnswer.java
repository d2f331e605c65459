package io.hawthornlb.app.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Puts the events of a token stream together to the whole answer. */
final class StreamedAnswer {

  private static final String END_MARKER = "[DONE]";
  private static final String TOKEN_FIELD = "hawthornlb_token";

  private final ObjectMapper mapper;
  private final StringBuilder content = new StringBuilder();
  private String id = "";
  private String model = "";
  private String finishReason = "";
  private JsonNode usage;
  private int tokens;
  private boolean whole;

  StreamedAnswer(ObjectMapper mapper) {
    this.mapper = mapper;
    this.usage = mapper.nullNode();
  }

  /** Takes an event that came next in the stream. */
  void event(String data) {
    if (END_MARKER.equals(data)) {
      whole = true;
      return;
    }
    try {
      take(mapper.readTree(data));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the endpoint sent an event that is no JSON", e);
    }
  }

  /** Returns the number of tokens so far. */
  int tokens() {
    return tokens;
  }

  /** Returns whether the end marker came. */
  boolean whole() {
    return whole;
  }

  /** Returns the whole answer in the shape of one that was not streamed. */
  String json() {
    ObjectNode root = mapper.createObjectNode();
    root.put("id", id).put("object", "chat.completion").put("model", model);
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0).put("finish_reason", finishReason);
    choice.putObject("message").put("role", "assistant").put("content", content.toString());
    root.set("usage", usage);
    return root.toString();
  }

  private void take(JsonNode chunk) {
    id = chunk.path("id").asText(id);
    model = chunk.path("model").asText(model);
    JsonNode choice = chunk.path("choices").path(0);
    content.append(choice.path("delta").path("content").asText(""));
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.path("finish_reason").asText();
    }
    if (chunk.hasNonNull("usage")) {
      usage = chunk.path("usage");
    }
    tokens = chunk.path(TOKEN_FIELD).asInt(tokens + 1);
  }
}
