package io.hawthornlb.standin.engine.support;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.hawthornlb.standin.engine.AnswerText;
import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.support.WireJson;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Creates the response bodies of the chat completion protocol. */
final class ChatWire {

  private static final String FINISHED = "length";
  private static final String CHUNK = "chat.completion.chunk";
  private static final long CREATED = 0;

  private ChatWire() {}

  /** The body of a response that is not streamed. */
  record Completion(
      String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

  /** The only choice of a completion. */
  record Choice(
      int index, ChatMessage message, @JsonProperty("finish_reason") String finishReason) {}

  /** The token counts of a request. */
  record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("total_tokens") int totalTokens) {}

  /** One event of a streamed response. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Chunk(
      String id,
      String object,
      long created,
      String model,
      List<DeltaChoice> choices,
      @Nullable Usage usage,
      @JsonProperty("hawthornlb_token") int token) {}

  /** The only choice of a chunk. */
  record DeltaChoice(
      int index, Delta delta, @JsonProperty("finish_reason") @Nullable String finishReason) {}

  /** The part of the answer that a chunk adds. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Delta(@Nullable String role, @Nullable String content) {}

  /** Returns the body with the complete answer. */
  static Completion whole(TokenStream stream) {
    String text = AnswerText.whole(stream.textHash(), stream.total());
    return new Completion(
        id(stream),
        "chat.completion",
        CREATED,
        stream.model(),
        List.of(new Choice(0, new ChatMessage("assistant", text), FINISHED)),
        usage(stream));
  }

  /** Returns the chunk that carries a token. */
  static String token(TokenStream stream, int index) {
    String role = index == 0 ? "assistant" : null;
    String text = AnswerText.token(stream.textHash(), index);
    return chunk(stream, new DeltaChoice(0, new Delta(role, text), null), null, index);
  }

  /** Returns the chunk after the last token. */
  static String end(TokenStream stream) {
    DeltaChoice choice = new DeltaChoice(0, new Delta(null, null), FINISHED);
    return chunk(stream, choice, usage(stream), stream.total());
  }

  private static String chunk(
      TokenStream stream, DeltaChoice choice, @Nullable Usage usage, int index) {
    Chunk chunk =
        new Chunk(id(stream), CHUNK, CREATED, stream.model(), List.of(choice), usage, index);
    return new String(WireJson.write(chunk), StandardCharsets.UTF_8);
  }

  private static Usage usage(TokenStream stream) {
    int prompt = stream.prompt().tokens();
    return new Usage(prompt, stream.total(), prompt + stream.total());
  }

  private static String id(TokenStream stream) {
    return "chatcmpl-" + stream.id();
  }
}
