package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The body of a chat completion.
 *
 * @param model the model or service
 * @param messages the chat so far
 * @param stream whether the answer comes token by token
 * @param maxTokens how many tokens to generate; absent leaves it to the engine
 */
public record ChatRequest(
    @Nullable String model,
    @Nullable List<ChatMessage> messages,
    boolean stream,
    @JsonProperty("max_tokens") @Nullable Integer maxTokens) {}
