package io.hawthornlb.app.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Assembles the complete answer from the events of a token stream. */
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
  private boolean complete;

  StreamedAnswer(ObjectMapper mapper) {
    this.mapper = mapper;
    this.usage = mapper.nullNode();
  }

  /** Adds the next event of the stream. */
  void add(String data) {
    if (END_MARKER.equals(data)) {
      complete = true;
      return;
    }
    try {
      addChunk(mapper.readTree(data));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the endpoint sent an event that is no JSON", e);
    }
  }

  /** Returns the number of tokens received so far. */
  int tokens() {
    return tokens;
  }

  /** Returns whether the end marker has been received. */
  boolean complete() {
    return complete;
  }

  /** Returns the complete answer in the format of an answer that was not streamed. */
  String json() {
    ObjectNode root = mapper.createObjectNode();
    root.put("id", id).put("object", "chat.completion").put("model", model);
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0).put("finish_reason", finishReason);
    choice.putObject("message").put("role", "assistant").put("content", content.toString());
    root.set("usage", usage);
    return root.toString();
  }

  private void addChunk(JsonNode chunk) {
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
